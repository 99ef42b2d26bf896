package overload

const (
	// controlMB is the memory in MB of 2^20 bytes that control and the runtime need.
	controlMB = 48
	// budgetFraction is the part of the rest that is given to the account. The remainder is for
	// garbage that is not collected yet.
	budgetFraction = 0.6
	// filesReserve is the number of descriptors that the process keeps for files, at most half of
	// its descriptors.
	filesReserve = 200
	// controlDescriptors is the number of descriptors for the store, the other listeners and the
	// exchange between routers, at most a quarter of those that are left.
	controlDescriptors = 64
	// endpointDivisor is the inverse of the part of the descriptors, without filesReserve, that
	// connections to endpoints may use.
	endpointDivisor = 3
)

// BudgetFor returns the budget in bytes of a process with memoryMB of memory, 0 (no limit) for 0.
func BudgetFor(memoryMB int) int64 {
	if memoryMB <= 0 {
		return 0
	}
	return int64(float64(max(memoryMB-controlMB, 1)) * budgetFraction * (1 << 20))
}

// SplitDescriptors returns how many connections of callers and to endpoints a process with maxFDs
// descriptors may have.
func SplitDescriptors(maxFDs int) (callers, endpoints int) {
	connections := maxFDs - min(filesReserve, maxFDs/2)
	endpoints = connections / endpointDivisor
	return connections - endpoints - min(controlDescriptors, connections/4), endpoints
}
