package main

import (
	"bufio"
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

var requestNumber atomic.Int64

// newID returns a request id that has not been used.
func newID() string {
	return fmt.Sprintf("%08x%08x", time.Now().UnixNano()&0xffffffff, requestNumber.Add(1))
}

// outcome is what a client got.
type outcome struct {
	status   int
	stamp    string
	events   int  // of a stream
	complete bool // the answer ended properly
	err      error
}

// callers is a client that keeps its connections.
var callers = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 500}}

// send sends one request to a router and reads its answer.
func send(front, method, path, id, body string, deadline time.Duration) outcome {
	return sendBy(callers, front, method, path, id, body, deadline)
}

func sendBy(client *http.Client, front, method, path, id, body string, deadline time.Duration) outcome {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+front+path, strings.NewReader(body))
	must(err)
	request.Host = "shop.example"
	request.Header.Set("Request-Id", id)
	request.Header.Set("Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	response, err := client.Do(request)
	if err != nil {
		return outcome{err: err}
	}
	defer response.Body.Close()
	o := outcome{status: response.StatusCode, stamp: response.Header.Get("Server-Stamp")}
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		if strings.HasPrefix(lines.Text(), "id:") {
			o.events++
		}
	}
	o.err = lines.Err()
	o.complete = o.err == nil
	return o
}
