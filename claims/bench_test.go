package claims

import (
	"context"
	"fmt"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/objectstore"
)

// countingStore counts writes and written bytes.
type countingStore struct {
	objectstore.Store
	writes, bytes atomic.Int64
}

func (c *countingStore) Put(ctx context.Context, key string, value []byte, ifVersion uint64) (uint64, error) {
	c.writes.Add(1)
	c.bytes.Add(int64(len(value)))
	return c.Store.Put(ctx, key, value, ifVersion)
}

func benchmarkClaim(i int) api.ClaimRequest {
	return api.ClaimRequest{
		Key:        fmt.Sprintf("workspace-7/orders/0f8fad5b-d9cb-469f-a165-%012d", i),
		Attempt:    fmt.Sprintf("router-017-%026d", i),
		Router:     "router-017",
		BodyDigest: fmt.Sprintf("%064x", i),
	}
}

// BenchmarkShardOwner measures the claims per second of one shard with the default
// commit interval and 256 concurrent callers, and the writes and written bytes per
// claim.
func BenchmarkShardOwner(b *testing.B) {
	store := &countingStore{Store: objectstore.NewMemory()}
	cfg := DefaultOwnerConfig("r1")
	cfg.Shards = 1
	owner := NewOwner(cfg, store, SystemClock{})
	defer owner.Close()
	var next atomic.Int64
	b.SetParallelism(max(1, 256/runtime.GOMAXPROCS(0)))
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			reply := owner.Handle(context.Background(), benchmarkClaim(int(next.Add(1))))
			if reply.Result != api.ClaimResultGranted {
				b.Errorf("claim not granted: result %s", reply.Result)
			}
		}
	})
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "claims/s")
	b.ReportMetric(float64(store.bytes.Load())/float64(b.N), "written-B/claim")
	b.ReportMetric(float64(store.writes.Load())/float64(b.N), "writes/claim")
}

// BenchmarkShardCommit measures the CPU time of the state machine and the written bytes,
// both per claim, for several numbers of claims in one commit.
func BenchmarkShardCommit(b *testing.B) {
	for _, size := range []int{1, 16, 128} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			store := &countingStore{Store: objectstore.NewMemory()}
			cfg := testConfig("o1")
			cfg.MaxQueue = size
			cfg.Retention = 10 * time.Second // short, so that the journal does not become full at any number of claims
			s := NewShard(cfg)
			now := time.Unix(1e9, 0)
			for i := range b.N {
				s.Claim(uint64(i), benchmarkClaim(i))
				if i%size == size-1 || i == b.N-1 {
					now = now.Add(cfg.CommitInterval)
					for _, reply := range drive(s, store, now) {
						assert.Equal(b, reply.Result, api.ClaimResultGranted)
					}
				}
			}
			b.ReportMetric(float64(store.bytes.Load())/float64(b.N), "written-B/claim")
		})
	}
}

// BenchmarkShardMemory measures the heap of a shard per recorded key.
func BenchmarkShardMemory(b *testing.B) {
	const records = 60_000 // about one day's records of one of 64 shards, at 50 keyed calls per second in the fleet
	for range b.N {
		store := objectstore.NewMemory()
		writer := NewShard(testConfig("o1"))
		writer.cfg.MaxQueue = 128
		for i := range records {
			writer.Claim(uint64(i), benchmarkClaim(i))
			if i%128 == 127 || i == records-1 {
				drive(writer, store, time.Unix(1e9+int64(i), 0))
			}
		}
		before := heapBytes()
		reader := NewShard(testConfig("o2"))
		reader.Claim(1, benchmarkClaim(0))
		reply := drive(reader, store, time.Unix(1e9+records, 0))[1]
		assert.Assert(b, reply.Result == api.ClaimResultGranted || reply.Result == api.ClaimResultOutcomeUnknown)
		b.ReportMetric(float64(heapBytes()-before)/records, "heap-B/record")
		runtime.KeepAlive(reader)
		runtime.KeepAlive(writer)
		runtime.KeepAlive(store)
	}
}

func heapBytes() uint64 {
	runtime.GC()
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}
