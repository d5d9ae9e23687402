package main

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

const routeHost = "reviewed.example"

// send sends a request on a connection of its own and returns the answer, whose body is to be read and closed.
func send(ctx context.Context, address, method, uri, id string, deadline time.Duration, header map[string]string, body []byte) (*http.Response, error) {
	conn, err := (&net.Dialer{Timeout: time.Second}).DialContext(ctx, "tcp4", address)
	if err != nil {
		return nil, err
	}
	if tcp, ok := conn.(*net.TCPConn); ok {
		_ = tcp.SetReadBuffer(64 << 10) // a consumer that reads slowly doesn't buffer the answer either
	}
	if until, ok := ctx.Deadline(); ok {
		_ = conn.SetDeadline(until)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+address+uri, bytes.NewReader(body))
	if err != nil {
		return nil, err
	}
	req.Host = routeHost
	if id != "" {
		req.Header.Set("Oleanderfall-Request-Id", id)
	}
	if deadline > 0 {
		req.Header.Set("Oleanderfall-Deadline-Ms", fmt.Sprint(deadline.Milliseconds()))
	}
	for k, v := range header {
		req.Header.Set(k, v)
	}
	req.Close = true
	if err := req.Write(conn); err != nil {
		_ = conn.Close()
		return nil, err
	}
	resp, err := http.ReadResponse(bufio.NewReader(conn), req)
	if err != nil {
		_ = conn.Close()
		return nil, err
	}
	resp.Body = &closing{resp.Body, conn}
	return resp, nil
}

type closing struct {
	io.ReadCloser
	conn net.Conn
}

func (c *closing) Close() error { return errors.Join(c.ReadCloser.Close(), c.conn.Close()) }

// call is send for a whole answer.
func call(address, method, uri, id string, timeout time.Duration, header map[string]string, body []byte) (status int, answer []byte, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	resp, err := send(ctx, address, method, uri, id, timeout, header, body)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()
	answer, err = io.ReadAll(resp.Body)
	return resp.StatusCode, answer, err
}
