package edge

import (
	"github.com/hornbeamproxy/hornbeamproxy/config"
	"github.com/hornbeamproxy/hornbeamproxy/exchange"
	"github.com/hornbeamproxy/hornbeamproxy/gateway"
)

// sharedRoomOf returns which requests share the room of their service.
func sharedRoomOf(s *config.EdgeSettings) gateway.SharedRoom {
	switch {
	case !s.SharesRoom():
		return gateway.RoomForNone
	case s.Demand.SharedRoom == config.Always:
		return gateway.RoomForAll
	}
	return gateway.RoomForPlain
}

// roomDemands returns the functions by which routers tell each other the demand for services whose
// room is full; nil if the room is not shared.
func (p *process) roomDemands() (demands func() exchange.Demands, receive func(exchange.Demands)) {
	if !p.options.Settings.SharesRoom() {
		return nil, nil
	}
	return func() exchange.Demands { return p.gateway.RoomDemands() },
		func(sums exchange.Demands) { p.gateway.SetRoomDemands(sums) }
}
