package main

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

var lastID atomic.Uint64

// exchange is one client attempt as the client saw it.
type exchange struct {
	id, router, key string
	sent, ended     time.Time
	kept            bool // the connection had carried a request before
	status          int  // 0 if there was no answer
	complete        bool
}

// client sends requests to a router, one at a time on a kept connection.
type client struct {
	record  *record
	router  *router
	path    string
	key     string
	body    []byte
	headers string
	timeout time.Duration
	pace    time.Duration // between two parts of partBytes of a body; 0 sends it at once

	conn   net.Conn
	reader *bufio.Reader

	mu   sync.Mutex
	done []exchange
}

// send sends one request and reads its answer.
func (c *client) send() exchange {
	x := exchange{id: fmt.Sprintf("%016x", lastID.Add(1)), router: c.router.id, key: c.key, kept: c.conn != nil}
	defer func() {
		x.ended = time.Now()
		c.record.line(x.ended, "client: request %s to router %s ended: status %d, complete %t", x.id, x.router, x.status, x.complete)
		c.mu.Lock()
		c.done = append(c.done, x)
		c.mu.Unlock()
	}()
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.router.callers, time.Second)
		if err != nil {
			x.sent = time.Now()
			return x
		}
		c.conn, c.reader = conn, bufio.NewReader(conn)
	}
	_ = c.conn.SetDeadline(time.Now().Add(c.timeout))
	var request bytes.Buffer
	fmt.Fprintf(&request, "POST %s HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: %s\r\nDeadline-Ms: %d\r\nApi-Key: %s\r\n%sContent-Length: %d\r\n\r\n",
		c.path, x.id, c.timeout.Milliseconds(), c.key, c.headers, len(c.body))
	x.sent = time.Now()
	c.record.line(x.sent, "client: request %s sent to router %s with key %s, %d bytes", x.id, x.router, c.key, len(c.body))
	if err := c.write(append(request.Bytes(), c.body...)); err != nil {
		c.close()
		return x
	}
	response, err := http.ReadResponse(c.reader, nil)
	if err != nil {
		c.close()
		return x
	}
	_, err = io.Copy(io.Discard, response.Body)
	x.status, x.complete = response.StatusCode, err == nil
	if err != nil || response.Close {
		c.close()
	}
	return x
}

// partBytes is the size of the parts in which a body with a pace is sent.
const partBytes = 64 << 10

func (c *client) write(request []byte) error {
	for len(request) > 0 {
		part := request
		if c.pace > 0 {
			part = request[:min(partBytes, len(request))]
			time.Sleep(c.pace)
		}
		if _, err := c.conn.Write(part); err != nil {
			return err
		}
		request = request[len(part):]
	}
	return nil
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

// every sends a request, waits for the pause, and so on until stop is closed.
func (c *client) every(pause time.Duration, stop <-chan struct{}, group *sync.WaitGroup) {
	defer group.Done()
	defer c.close()
	for {
		select {
		case <-stop:
			return
		case <-time.After(pause):
			c.send()
		}
	}
}

func (c *client) exchanges() []exchange {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]exchange(nil), c.done...)
}
