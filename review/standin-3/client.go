package main

import (
	"bufio"
	"crypto/sha256"
	"encoding/hex"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

func hash(b []byte) string {
	sum := sha256.Sum256(b)
	return hex.EncodeToString(sum[:6])
}

// client is a client with one connection at a time, which it keeps.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
	front  string
	fresh  bool // whether nothing has been answered on the connection
}

// result is what a client saw of a request.
type result struct {
	status      int
	body        string
	stamp       string
	retryAfter  string
	whole       bool // the answer was complete
	err         error
	fresh       bool // whether it was the first request on its connection
	sent, ended time.Time
	close       bool
}

func (c *client) drop() {
	if c.conn != nil {
		_ = c.conn.Close()
		c.conn = nil
	}
}

func (c *client) open(front string) error {
	if c.conn != nil && c.front == front {
		return nil
	}
	c.drop()
	conn, err := net.DialTimeout("tcp", front, time.Second)
	if err != nil {
		return err
	}
	c.conn, c.front, c.reader, c.fresh = conn, front, bufio.NewReader(conn), true
	return nil
}

// head returns the head of a request, with the body's framing.
func head(method, target, id, key string, deadlineMS int, framing string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: %s\r\nApi-Key: %s\r\nDeadline-Ms: %d\r\n%s\r\n", method, target, id, key, deadlineMS, framing)
}

// send sends a request and reads its answer.
func (c *client) send(front, method, target, id, key string, body []byte, chunked bool, deadline time.Duration) result {
	r := result{sent: time.Now()}
	if r.err = c.open(front); r.err != nil {
		return r
	}
	r.fresh = c.fresh
	framing := ""
	payload := body
	switch {
	case len(body) > 0 && chunked:
		framing = "Transfer-Encoding: chunked\r\n"
		payload = nil
		for rest := body; len(rest) > 0; {
			n := min(len(rest), 5000)
			payload = append(payload, fmt.Sprintf("%x\r\n", n)...)
			payload = append(payload, rest[:n]...)
			payload = append(payload, "\r\n"...)
			rest = rest[n:]
		}
		payload = append(payload, "0\r\n\r\n"...)
	case len(body) > 0:
		framing = fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	_ = c.conn.SetDeadline(time.Now().Add(deadline + 500*time.Millisecond))
	text := append([]byte(head(method, target, id, key, int(deadline.Milliseconds()), framing)), payload...)
	if _, err := c.conn.Write(text); err != nil {
		r.err = err
		c.drop()
		r.ended = time.Now()
		return r
	}
	c.read(&r, method)
	return r
}

func (c *client) read(r *result, method string) {
	defer func() { r.ended = time.Now() }()
	response, err := http.ReadResponse(c.reader, &http.Request{Method: method}) //nolint:bodyclose // the connection owns it
	if err != nil {
		r.err = err
		c.drop()
		return
	}
	r.status, r.stamp, r.retryAfter = response.StatusCode, response.Header.Get("Server-Stamp"), response.Header.Get("Retry-After")
	text, err := io.ReadAll(response.Body)
	r.body, r.err, r.whole = string(text), err, err == nil
	r.close = response.Close
	c.fresh = false
	if err != nil || response.Close {
		c.drop()
	}
}

// unsolicited reports whether bytes arrive on the kept connection though no request waits.
func (c *client) unsolicited() bool {
	if c.conn == nil {
		return false
	}
	_ = c.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.reader.Peek(1)
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		return false
	}
	if err != nil {
		c.drop()
		return false
	}
	return true
}
