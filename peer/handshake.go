package peer

import (
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"hash"

	"github.com/coder/websocket"

	"github.com/hornbeamproxy/hornbeamproxy/api"
)

const (
	nonceBytes = 32
	// maxHandshakeBytes is the size of the largest message that is read from a peer
	// which has not authenticated yet.
	maxHandshakeBytes = 1024
)

// identity is the authenticated identity of the other side.
type identity struct {
	router  string
	address string // empty when it accepts no peers
	session uint64 // differs after a restart
}

// Roles of the two sides of a handshake. The sender's role is an input of its MAC, so that
// a MAC which is sent back to its sender is not accepted.
const (
	roleDialer   = "hornbeamproxy peer dialer"
	roleListener = "hornbeamproxy peer listener"
)

// dialHandshake runs the dialing side of the handshake: it reads the listener's part,
// sends its own part and MAC, and verifies the listener's MAC, which arrives last.
func (t *Transport) dialHandshake(ctx context.Context, ws *websocket.Conn) (identity, error) {
	listener, err := t.readHandshake(ctx, ws)
	if err != nil {
		return identity{}, err
	}
	dialer := t.newHandshake()
	if listener.Router == dialer.Router {
		return identity{}, errSelf
	}
	dialer.Mac = t.mac(roleDialer, dialer, listener)
	if err := t.writeHandshake(ctx, ws, dialer); err != nil {
		return identity{}, err
	}
	proof, err := t.readHandshake(ctx, ws)
	if err != nil {
		return identity{}, fmt.Errorf("%w: %w", ErrAuthentication, err)
	}
	if !hmac.Equal(proof.Mac, t.mac(roleListener, dialer, listener)) {
		t.authFailed.Inc(1)
		return identity{}, ErrAuthentication
	}
	return identityOf(listener), nil
}

// acceptHandshake runs the listening side of the handshake. It sends its MAC only
// after it has verified the dialer's.
func (t *Transport) acceptHandshake(ctx context.Context, ws *websocket.Conn) (identity, error) {
	listener := t.newHandshake()
	if err := t.writeHandshake(ctx, ws, listener); err != nil {
		return identity{}, err
	}
	dialer, err := t.readHandshake(ctx, ws)
	if err != nil {
		return identity{}, err
	}
	if !hmac.Equal(dialer.Mac, t.mac(roleDialer, dialer, listener)) {
		t.authFailed.Inc(1)
		return identity{}, ErrAuthentication
	}
	if dialer.Router == "" || dialer.Router == listener.Router || len(dialer.Nonce) != nonceBytes {
		return identity{}, ErrAuthentication
	}
	proof := &api.PeerHandshake{Mac: t.mac(roleListener, dialer, listener)}
	if err := t.writeHandshake(ctx, ws, proof); err != nil {
		return identity{}, err
	}
	return identityOf(dialer), nil
}

func identityOf(part *api.PeerHandshake) identity {
	return identity{router: part.Router, address: part.Address, session: part.Session}
}

func (t *Transport) newHandshake() *api.PeerHandshake {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce) // crypto/rand.Read never returns an error
	return &api.PeerHandshake{
		Router:  t.opts.RouterID,
		Address: t.opts.Address,
		Session: t.session,
		Nonce:   nonce,
	}
}

func (t *Transport) mac(role string, dialer, listener *api.PeerHandshake) []byte {
	h := hmac.New(sha256.New, t.opts.Secret)
	writeField(h, []byte(role))
	for _, part := range []*api.PeerHandshake{dialer, listener} {
		writeField(h, []byte(part.Router))
		writeField(h, []byte(part.Address))
		writeField(h, binary.BigEndian.AppendUint64(nil, part.Session))
		writeField(h, part.Nonce)
	}
	return h.Sum(nil)
}

// writeField hashes a field with its length as a prefix, so that different lists of
// fields never hash the same bytes.
func writeField(h hash.Hash, field []byte) {
	_, _ = h.Write(binary.BigEndian.AppendUint32(nil, uint32(len(field))))
	_, _ = h.Write(field)
}

func (t *Transport) writeHandshake(ctx context.Context, ws *websocket.Conn, part *api.PeerHandshake) error {
	buf := encode(&api.PeerMessage{Handshake: part})
	defer releaseBuffer(buf)
	t.sent.add(kindHandshake, buf.Len())
	if err := ws.Write(ctx, websocket.MessageBinary, buf.Bytes()); err != nil {
		return fmt.Errorf("writing handshake: %w", err)
	}
	return nil
}

func (t *Transport) readHandshake(ctx context.Context, ws *websocket.Conn) (*api.PeerHandshake, error) {
	_, data, err := ws.Read(ctx)
	if err != nil {
		return nil, fmt.Errorf("reading handshake: %w", err)
	}
	t.received.add(kindHandshake, len(data))
	var msg api.PeerMessage
	if _, err := decodeNext(data, &msg); err != nil {
		return nil, err
	}
	if kindOf(&msg) != kindHandshake {
		return nil, fmt.Errorf("%w: not a handshake", ErrInvalidMessage)
	}
	return msg.Handshake, nil
}
