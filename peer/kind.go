package peer

import (
	metrics "github.com/rcrowley/go-metrics"

	"github.com/hornbeamproxy/hornbeamproxy/api"
	"github.com/hornbeamproxy/hornbeamproxy/telemetry"
)

// kind is the type of a message's body.
type kind int

const (
	kindNone kind = iota
	kindPermitRequest
	kindPermitReply
	kindPermitRelease
	kindPermitRenew
	kindPermitAdopt
	kindClaimRequest
	kindClaimReply
	kindClaimUpdate
	kindGossip
	kindNotesRequest
	kindNotesReply
	kindInstanceStates
	kindRecords
	kindError
	kindHandshake
	kindFraming // WebSocket frame headers, not a body
	kindCount
)

// kinds holds the name of each kind in metrics. A kind whose messages are payload rather
// than control traffic is counted under peer.payload instead of peer, so that the sum
// over peer.bytes.sent is the control traffic. At present no kind is payload.
var kinds = [kindCount]struct {
	name    string
	payload bool
}{
	kindNone:           {name: "unknown"},
	kindPermitRequest:  {name: "permit_request"},
	kindPermitReply:    {name: "permit_reply"},
	kindPermitRelease:  {name: "permit_release"},
	kindPermitRenew:    {name: "permit_renew"},
	kindPermitAdopt:    {name: "permit_adopt"},
	kindClaimRequest:   {name: "claim_request"},
	kindClaimReply:     {name: "claim_reply"},
	kindClaimUpdate:    {name: "claim_update"},
	kindGossip:         {name: "gossip"},
	kindNotesRequest:   {name: "notes_request"},
	kindNotesReply:     {name: "notes_reply"},
	kindInstanceStates: {name: "instance_states"},
	kindRecords:        {name: "records"},
	kindError:          {name: "error"},
	kindHandshake:      {name: "handshake"},
	kindFraming:        {name: "framing"},
}

// kindOf returns the kind of a message's body, or kindNone unless exactly one body is
// set.
func kindOf(msg *api.PeerMessage) kind {
	found, bodies := kindNone, 0
	set := func(present bool, k kind) {
		if present {
			found = k
			bodies++
		}
	}
	set(msg.PermitRequest != nil, kindPermitRequest)
	set(msg.PermitReply != nil, kindPermitReply)
	set(msg.PermitRelease != nil, kindPermitRelease)
	set(msg.PermitRenew != nil, kindPermitRenew)
	set(msg.PermitAdopt != nil, kindPermitAdopt)
	set(msg.ClaimRequest != nil, kindClaimRequest)
	set(msg.ClaimReply != nil, kindClaimReply)
	set(msg.ClaimUpdate != nil, kindClaimUpdate)
	set(msg.Gossip != nil, kindGossip)
	set(msg.NotesRequest != nil, kindNotesRequest)
	set(msg.NotesReply != nil, kindNotesReply)
	set(msg.InstanceStates != nil, kindInstanceStates)
	set(msg.Records != nil, kindRecords)
	set(msg.Error != nil, kindError)
	set(msg.Handshake != nil, kindHandshake)
	if bodies != 1 {
		return kindNone
	}
	return found
}

// traffic counts the messages and bytes of one direction by kind.
type traffic struct {
	messages [kindCount]metrics.Counter
	bytes    [kindCount]metrics.Counter
}

func newTraffic(m *telemetry.Metrics, direction string) *traffic {
	t := &traffic{}
	for k, entry := range kinds {
		prefix := "peer."
		if entry.payload {
			prefix = "peer.payload."
		}
		t.messages[k] = m.Counter(prefix + "messages." + direction + "." + entry.name)
		t.bytes[k] = m.Counter(prefix + "bytes." + direction + "." + entry.name)
	}
	return t
}

func (t *traffic) add(k kind, size int) {
	t.messages[k].Inc(1)
	t.bytes[k].Inc(int64(size))
}

// Sizes of a WebSocket frame header: two bytes, a longer length field for
// payloads above 125 bytes and above 65,535 bytes, and a mask of four bytes on
// frames of the dialing side.
const (
	frameHeaderBytes   = 2
	frameMaskBytes     = 4
	frameLength16Bytes = 2
	frameLength64Bytes = 8
)

func frameOverhead(payload int, masked bool) int {
	size := frameHeaderBytes
	if masked {
		size += frameMaskBytes
	}
	if payload > 65535 {
		return size + frameLength64Bytes
	}
	if payload > 125 {
		return size + frameLength16Bytes
	}
	return size
}
