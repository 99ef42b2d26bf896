package exchange

import (
	"errors"
	"fmt"
	"net"
	"time"

	"github.com/fxamacker/cbor/v2"
	"go.uber.org/zap"
)

// receiveErrorPause is the time after an error of the socket before the next datagram is
// received.
const receiveErrorPause = 50 * time.Millisecond

// Receive handles incoming datagrams until the socket is closed. Other errors of the socket
// are counted, and it goes on after receiveErrorPause.
func (e *Exchange) Receive() error {
	buffer := make([]byte, maxDatagram+1)
	for {
		n, _, err := e.socket.ReadFromUDPAddrPort(buffer)
		if errors.Is(err, net.ErrClosed) {
			return fmt.Errorf("receiving from peers: %w", err)
		}
		if err != nil {
			e.config.Metrics.Counter("exchange.receive_errors").Inc(1)
			e.config.Logger.Warn("datagram not received", zap.Error(err))
			time.Sleep(receiveErrorPause)
			continue
		}
		var m message
		if err := cbor.Unmarshal(buffer[:n], &m); err != nil {
			e.config.Metrics.Counter("exchange.malformed").Inc(1)
			continue
		}
		e.config.Guard.Run("message of a router", func() { e.handleMessage(time.Now(), m) })
	}
}

// received is what follows from a message.
type received struct {
	known, direct bool           // whether the sender is a known peer, and whether the fleet is small
	previous      map[string]int // the sender's loads before, by endpoint id
	reported      Loads          // what this router has reported itself
	acceptsView   bool
	surge         bool   // a prompt surges by this message
	compressed    []byte // a batch of which the last fragment has arrived
}

// handleMessage records what a message says of its sender, and passes the batch, the loads
// and the view to the functions of Config. If the sender is not a known peer, only the batch
// is used.
func (e *Exchange) handleMessage(now time.Time, m message) {
	r := e.recordMessage(now, m)
	if r.known {
		e.receiveStoreAnswers(now, m)
	}
	batch := m.Batch
	if r.compressed != nil {
		var err error
		if batch, err = decompressBatch(r.compressed); err != nil {
			e.config.Metrics.Counter("exchange.malformed").Inc(1)
		}
	}
	if batch != nil {
		e.config.ReceiveBatch(*batch)
	}
	if r.known && len(m.Leaving) > 0 {
		e.config.ReceiveLeaving(m.Leaving)
	}
	if r.known {
		e.receiveDemand(now, m)
	}
	if r.known && m.PoisonReport != nil {
		e.config.ReceivePoison(m.PoisonReport, false)
	}
	if r.known && m.PoisonAnnouncement != nil {
		e.config.ReceivePoison(m.PoisonAnnouncement, true)
	}
	if r.known {
		e.receiveRollouts(m)
	}
	if r.known && r.direct && m.HasLoads {
		e.applyLoads(m, r.previous)
	}
	if r.acceptsView {
		e.applyView(m.View, r.reported)
	}
	if r.surge {
		e.sendSurgeView(now)
	}
}

// recordMessage records what a message says of its sender.
func (e *Exchange) recordMessage(now time.Time, m message) received {
	e.mu.Lock()
	defer e.mu.Unlock()
	p, ok := e.peers[m.Router]
	if !ok {
		return received{}
	}
	r := received{known: true, direct: e.sendsDirect(), reported: e.reported}
	p.lastHeard = now
	if m.Relay {
		p.relayAt = now
		p.heads, p.headsAt = receivedHeads(now, m.Heads), now
	}
	if m.HasLoads {
		r.surge = !r.direct && e.surges.add(p.prompts, m.Prompts)
		r.previous, p.loads = p.loads, m.Loads
		p.prompts, p.loadsAt = m.Prompts, now
	}
	if m.Fragment != nil {
		var err error
		if r.compressed, err = p.addFragment(m.Fragment); err != nil {
			e.config.Metrics.Counter("exchange.malformed").Inc(1)
		}
	}
	if m.View != nil {
		p.viewAt = now
		r.acceptsView = !r.direct && e.acceptsView(now, p)
	}
	return r
}
