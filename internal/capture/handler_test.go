package capture

import (
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestHandlerControlsTheCapture(t *testing.T) {
	recorder, owner, dir := record(t, 100, Options{RingBytes: 1 << 20})
	t.Cleanup(func() { assert.NoError(t, recorder.Close()) })
	handler := recorder.Handler()
	for _, c := range []struct {
		method, path string
		status       int
		body         string
	}{
		{"GET", "/", 200, `"on":true`},
		{"POST", "/off", 200, `"on":false`},
		{"POST", "/on?for=x", 400, "a time"},
		{"POST", "/on?for=1h", 200, `"on":true`},
		{"GET", "/nothing", 404, ""},
		{"GET", "/on", 405, ""},
	} {
		status, body := request(handler, c.method, c.path)
		assert.Equal(t, c.status, status, c.path)
		assert.Contains(t, body, c.body, c.path)
	}
	for range 1000 {
		owner.step()
	}
	recorder.Flush()
	dumped := func() bool {
		_, body := request(handler, "POST", "/dump")
		return strings.Contains(body, `"written":`) && !strings.Contains(body, `"written":0`)
	}
	require.Eventually(t, dumped, writerTimeout, pollInterval)
	files, err := os.ReadDir(dir)
	require.NoError(t, err)
	assert.NotEmpty(t, files)
}

func request(h http.Handler, method, path string) (status int, body string) {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(method, path, nil))
	return w.Code, w.Body.String()
}
