package edge

import "github.com/hornbeamproxy/hornbeamproxy/exchange"

// roomDemands returns the functions by which routers tell each other the demand for services whose
// room is full; nil if the room is not shared.
func (p *process) roomDemands() (demands func() exchange.Demands, receive func(exchange.Demands)) {
	if !p.options.Settings.SharesRoom() {
		return nil, nil
	}
	return func() exchange.Demands { return p.gateway.RoomDemands() },
		func(sums exchange.Demands) { p.gateway.SetRoomDemands(sums) }
}
