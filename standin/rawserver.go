package standin

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"
)

// RawHandler answers a request whose head has been read; its body is unread. The connection stays
// open for the next request if it returns true.
type RawHandler func(conn *net.TCPConn, request *http.Request) bool

// RawServer is a server on a free loopback port whose handler writes the bytes of its responses
// itself, so that they may be malformed or cut off.
type RawServer struct {
	listener net.Listener
	handler  RawHandler
	tasks    sync.WaitGroup

	mu     sync.Mutex
	conns  map[net.Conn]struct{}
	served int
}

// NewRawServer starts a server. The caller must close it.
func NewRawServer(handler RawHandler) (*RawServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &RawServer{listener: listener, handler: handler, conns: map[net.Conn]struct{}{}}
	s.tasks.Go(s.accept)
	return s, nil
}

// Addr returns the address (host:port) of the server.
func (s *RawServer) Addr() string { return s.listener.Addr().String() }

// Served returns the number of requests whose heads have been read.
func (s *RawServer) Served() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.served
}

// Close closes the listener and all connections, and waits until the handlers have returned.
func (s *RawServer) Close() {
	_ = s.listener.Close()
	s.mu.Lock()
	for conn := range s.conns {
		_ = conn.Close()
	}
	s.mu.Unlock()
	s.tasks.Wait()
}

func (s *RawServer) accept() {
	for {
		conn, err := s.listener.Accept()
		if err != nil {
			return
		}
		s.mu.Lock()
		s.conns[conn] = struct{}{}
		s.mu.Unlock()
		s.tasks.Go(func() { s.serve(conn.(*net.TCPConn)) })
	}
}

func (s *RawServer) serve(conn *net.TCPConn) {
	defer func() {
		s.mu.Lock()
		delete(s.conns, conn)
		s.mu.Unlock()
		_ = conn.Close()
	}()
	reader := bufio.NewReader(conn)
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.served++
		s.mu.Unlock()
		if !s.handler(conn, request) {
			return
		}
	}
}

// RespondRaw returns a handler that reads the request, sends the bytes, and keeps the connection open
// if keep is set. ID in the bytes stands for the value of the request's header idHeader,
// unless that is empty.
func RespondRaw(response, idHeader string, keep bool) RawHandler {
	return func(conn *net.TCPConn, request *http.Request) bool {
		_, _ = io.Copy(io.Discard, request.Body)
		_, _ = io.WriteString(conn, withID(response, request, idHeader))
		return keep
	}
}

// RespondDuringUpload is RespondRaw for a response that is sent while the body of the request is
// unread. The connection is reset after the wait.
func RespondDuringUpload(response, idHeader string, wait time.Duration) RawHandler {
	return func(conn *net.TCPConn, request *http.Request) bool {
		_, _ = io.WriteString(conn, withID(response, request, idHeader))
		time.Sleep(wait)
		ResetConn(conn)
		return false
	}
}

func withID(response string, request *http.Request, idHeader string) string {
	if idHeader == "" {
		return response
	}
	return strings.ReplaceAll(response, "ID", request.Header.Get(idHeader))
}

// ResetConn closes the connection with a TCP reset.
func ResetConn(conn *net.TCPConn) {
	_ = conn.SetLinger(0)
	_ = conn.Close()
}
