package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// client is a client with one connection at a time, which it keeps.
type client struct {
	conn   net.Conn
	reader *bufio.Reader
	front  string
}

// request is what a client sends.
type request struct {
	method, target, id, key string
	headers                 string // lines of further headers
	body                    []byte
	deadline                time.Duration
}

// result is what a client saw of a request.
type result struct {
	status      int
	body        string
	retryAfter  string
	whole       bool // the answer was complete
	err         error
	sent, ended time.Time
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
	c.conn, c.front, c.reader = conn, front, bufio.NewReader(conn)
	return nil
}

// send sends a request and reads its answer.
func (c *client) send(front string, q request) result {
	r := result{sent: time.Now()}
	r.err = c.exchange(front, q, &r)
	r.ended = time.Now()
	if r.err != nil {
		c.drop()
	}
	return r
}

func (c *client) exchange(front string, q request, r *result) error {
	if err := c.open(front); err != nil {
		return err
	}
	if err := c.conn.SetDeadline(time.Now().Add(q.deadline)); err != nil {
		return err
	}
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: shop.example\r\nRequest-Id: %s\r\nApi-Key: %s\r\nDeadline-Ms: %d\r\n%sContent-Length: %d\r\n\r\n",
		q.method, q.target, q.id, q.key, q.deadline.Milliseconds(), q.headers, len(q.body))
	if _, err := c.conn.Write(append([]byte(head), q.body...)); err != nil {
		return err
	}
	response, err := http.ReadResponse(c.reader, &http.Request{Method: q.method}) //nolint:bodyclose // the connection owns it
	if err != nil {
		return err
	}
	r.status, r.retryAfter = response.StatusCode, response.Header.Get("Retry-After")
	text, err := io.ReadAll(response.Body)
	r.body, r.whole = string(text), err == nil
	if response.Close {
		c.drop()
	}
	return err
}
