package ctlcmd

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"
)

const (
	httpTimeout      = 3 * time.Second
	maxResponseBytes = 64 << 20
)

// fetch sends a request without a body to a program's HTTP address and returns the response's body. A status other than
// 200 is an error.
func fetch(ctx context.Context, method, addr, path string) (body []byte, err error) {
	ctx, stop := context.WithTimeout(ctx, httpTimeout)
	defer stop()
	request, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, nil)
	if err != nil {
		return nil, err
	}
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return nil, err
	}
	defer func() { err = errors.Join(err, response.Body.Close()) }()
	body, err = io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return nil, err
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("%s: %s: %s", addr, response.Status, bytes.TrimSpace(body))
	}
	return body, nil
}
