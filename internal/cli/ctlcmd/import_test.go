package ctlcmd

import (
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lockloom/internal/cli"
	"lockloom/internal/nginx"
)

// The sample site, imported and served over loopback, responds as nginx's documentation describes.
func TestImportedOverLoopback(t *testing.T) {
	dir := t.TempDir()
	text, err := os.ReadFile("../../../deploy/nginx/shop.conf")
	require.NoError(t, err)
	site := string(text)
	for _, port := range []string{"9001", "9002", "9003", "9011", "9012"} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, err := fmt.Fprint(w, port, " ", r.URL, " ", r.Host)
			assert.NoError(t, err)
		}))
		t.Cleanup(server.Close)
		site = strings.ReplaceAll(site, "127.0.0.1:"+port, strings.TrimPrefix(server.URL, "http://"))
	}
	freeAddress := func() string {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer ln.Close()
		return ln.Addr().String()
	}
	listener := freeAddress()
	site = strings.ReplaceAll(site, "127.0.0.1:8080", listener)
	nginxFile, operatorFile := filepath.Join(dir, "shop.conf"), filepath.Join(dir, "shop.toml")
	require.NoError(t, os.WriteFile(nginxFile, []byte(site), 0o600))
	code, _, errOut := runCommand("import", "nginx", nginxFile, "-out", operatorFile)
	require.Equal(t, cli.ExitOK, code, errOut)
	assert.Contains(t, errOut, " 0 refused")
	launch := filepath.Join(dir, "launch.json")
	launchText := `{"seed":"1","limits":{"cores":1,"memory_mb":64,"sockets":512},
		"known":{"version":0,"full":true,"servers":[]},
		"settings":{"Ceilings":{"MaxLegs":3},
		"Profiles":[{"Name":"x","Effect":"retryable","HardStopMs":1000,"Value":1}]}}`
	require.NoError(t, os.WriteFile(launch, []byte(launchText), 0o600))
	program, err := os.Executable() // the test binary acts as lockloom, see TestMain
	require.NoError(t, err)
	serve := exec.Command(program, "serve", "-operator", operatorFile)
	serve.Env = append(os.Environ(), "ROUTER_NAME=n0", "ROUTER_LISTEN="+freeAddress(),
		"ROUTER_DISCOVERY="+freeAddress(), "ROUTER_CONFIG="+launch, "TMPDIR="+dir)
	require.NoError(t, serve.Start())
	t.Cleanup(func() {
		assert.NoError(t, serve.Process.Kill())
		assert.Error(t, serve.Wait(), "the proxy was killed")
	})
	client := &http.Client{CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	get := func(host, path string) (status int, body, location string) {
		r, err := http.NewRequest("GET", "http://"+listener+path, nil)
		require.NoError(t, err)
		r.Host = host
		response, err := client.Do(r)
		if err != nil {
			return 0, "", ""
		}
		defer func() { assert.NoError(t, response.Body.Close()) }()
		text, err := io.ReadAll(response.Body)
		assert.NoError(t, err)
		return response.StatusCode, string(text), response.Header.Get("Location")
	}
	isUp := func() bool {
		status, _, _ := get("shop.example", "/health")
		return status == 200
	}
	require.Eventually(t, isUp, 10*time.Second, 20*time.Millisecond)
	for _, c := range []struct {
		host, path string
		status     int
		ports      []string
		want       string // the body after the port, or the Location field
	}{
		{"shop.example", "/", 200, []string{"9001", "9002"}, " / shop.example"},
		{"www.shop.example", "/a?x=1", 200, []string{"9001", "9002"}, " /a?x=1 www.shop.example"},
		{"else", "/b", 200, []string{"9001", "9002"}, " /b else"},
		{"shop.example", "/orders/7?q", 200, []string{"9011", "9012"}, " /v2/7?q shop.example"},
		{"shop.example", "/item/42", 301, nil, "/items?id=42"},
		{"old.shop.example", "/x?y=1", 301, nil, "https://shop.example/x?y=1"},
	} {
		for range 10 {
			status, body, to := get(c.host, c.path)
			assert.Equal(t, c.status, status, c.path)
			if c.ports == nil {
				assert.Equal(t, c.want, to)
				continue
			}
			port, rest, _ := strings.Cut(body, " ")
			assert.Contains(t, c.ports, port, c.path)
			assert.Equal(t, c.want, " "+rest)
		}
	}
	limited := 0
	for range 80 {
		if status, _, _ := get("shop.example", "/orders/1"); status == 429 {
			limited++
		}
	}
	assert.Greater(t, limited, 5, "80 requests must exceed the limit of 40 at once and 20 per second")
}

func TestImportReportsVerdicts(t *testing.T) {
	dir := t.TempDir()
	write := func(text string) string {
		name := filepath.Join(dir, "x.conf")
		require.NoError(t, os.WriteFile(name, []byte(text), 0o600))
		return name
	}
	file := write("server { listen 80; root /x; location / { proxy_pass http://10.0.0.1; } }")
	code, out, errOut := runCommand("import", "nginx", file)
	assert.Equal(t, cli.ExitFailure, code)
	assert.Empty(t, out)
	assert.Contains(t, errOut, "x.conf:1:21  refused  root")
	assert.Contains(t, errOut, "some directives were refused")
	code, out, _ = runCommand("import", "nginx", file, "-partial", "-json", "-report", filepath.Join(dir, "report.json"))
	assert.Equal(t, cli.ExitFailure, code)
	assert.Contains(t, out, "# refused: "+file+":1:21: root")
	assert.Contains(t, out, "[[route]]")
	text, err := os.ReadFile(filepath.Join(dir, "report.json"))
	require.NoError(t, err)
	var list []nginx.Verdict
	require.NoError(t, json.Unmarshal(text, &list))
	refusesRoot := func(v nginx.Verdict) bool { return v.Name == "root" && v.Grade == "refused" }
	assert.True(t, slices.ContainsFunc(list, refusesRoot))
	code, _, errOut = runCommand("import", "nginx", write("a {"))
	assert.Equal(t, cli.ExitFailure, code)
	assert.Contains(t, errOut, "unexpected end of file: missing } of a block")
	code, _, _ = runCommand("import", "apache", file)
	assert.Equal(t, cli.ExitUsage, code)
}
