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

// The sample site, imported and served by the program, answers over loopback what nginx's documentation says it would.
func TestImportedOverLoopback(t *testing.T) {
	dir := t.TempDir()
	text, err := os.ReadFile("../../../deploy/nginx/shop.conf")
	require.NoError(t, err)
	site := string(text)
	for _, port := range []string{"9001", "9002", "9003", "9011", "9012"} {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, port, " ", r.URL, " ", r.Host) }))
		t.Cleanup(s.Close)
		site = strings.ReplaceAll(site, "127.0.0.1:"+port, strings.TrimPrefix(s.URL, "http://"))
	}
	free := func() string {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer ln.Close()
		return ln.Addr().String()
	}
	door := free()
	site = strings.ReplaceAll(site, "127.0.0.1:8080", door)
	file, made := filepath.Join(dir, "shop.conf"), filepath.Join(dir, "shop.toml")
	require.NoError(t, os.WriteFile(file, []byte(site), 0o600))
	code, _, said := run("import", "nginx", file, "-out", made)
	require.Equal(t, cli.Done, code, said)
	assert.Contains(t, said, " 0 refused")
	launch := filepath.Join(dir, "launch.json")
	require.NoError(t, os.WriteFile(launch, []byte(`{"seed":"1","limits":{"cores":1,"memory_mb":64,"sockets":512},"known":{"version":0,"full":true,"servers":[]},
		"settings":{"Ceilings":{"MaxLegs":3},"Profiles":[{"Name":"x","Effect":"retryable","HardStopMs":1000,"Value":1}]}}`), 0o600))
	program, err := os.Executable() // it stands for lockloom, see TestMain
	require.NoError(t, err)
	serve := exec.Command(program, "serve", "-operator", made)
	serve.Env = append(os.Environ(), "ROUTER_NAME=n0", "ROUTER_LISTEN="+free(), "ROUTER_DISCOVERY="+free(), "ROUTER_CONFIG="+launch, "TMPDIR="+dir)
	require.NoError(t, serve.Start())
	t.Cleanup(func() { serve.Process.Kill(); serve.Wait() })
	client := &http.Client{CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	ask := func(host, path string) (int, string, string) {
		r, err := http.NewRequest("GET", "http://"+door+path, nil)
		require.NoError(t, err)
		r.Host = host
		a, err := client.Do(r)
		if err != nil {
			return 0, "", ""
		}
		defer a.Body.Close()
		body, _ := io.ReadAll(a.Body)
		return a.StatusCode, string(body), a.Header.Get("Location")
	}
	require.Eventually(t, func() bool { status, _, _ := ask("shop.example", "/health"); return status == 200 }, 10*time.Second, 20*time.Millisecond)
	for _, c := range []struct {
		host, path string
		status     int
		ports      []string
		says       string // behind the port, or the address
	}{
		{"shop.example", "/", 200, []string{"9001", "9002"}, " / shop.example"},
		{"www.shop.example", "/a?x=1", 200, []string{"9001", "9002"}, " /a?x=1 www.shop.example"},
		{"else", "/b", 200, []string{"9001", "9002"}, " /b else"},
		{"shop.example", "/orders/7?q", 200, []string{"9011", "9012"}, " /v2/7?q shop.example"},
		{"shop.example", "/item/42", 301, nil, "/items?id=42"},
		{"old.shop.example", "/x?y=1", 301, nil, "https://shop.example/x?y=1"},
	} {
		for range 10 {
			status, body, to := ask(c.host, c.path)
			assert.Equal(t, c.status, status, c.path)
			if c.ports == nil {
				assert.Equal(t, c.says, to)
				continue
			}
			port, rest, _ := strings.Cut(body, " ")
			assert.Contains(t, c.ports, port, c.path)
			assert.Equal(t, c.says, " "+rest)
		}
	}
	limited := 0
	for range 80 {
		if status, _, _ := ask("shop.example", "/orders/1"); status == 429 {
			limited++
		}
	}
	assert.Greater(t, limited, 5, "40 at once, 20 a second")
}

func TestImport(t *testing.T) {
	dir := t.TempDir()
	write := func(text string) string {
		name := filepath.Join(dir, "x.conf")
		require.NoError(t, os.WriteFile(name, []byte(text), 0o600))
		return name
	}
	file := write("server { listen 80; root /x; location / { proxy_pass http://10.0.0.1; } }")
	code, out, said := run("import", "nginx", file)
	assert.Equal(t, cli.Failed, code)
	assert.Empty(t, out)
	assert.Contains(t, said, "x.conf:1:21  refused  root")
	assert.Contains(t, said, "not all was carried")
	code, out, _ = run("import", "nginx", file, "-partial", "-json", "-report", filepath.Join(dir, "report.json"))
	assert.Equal(t, cli.Failed, code)
	assert.Contains(t, out, "# refused: "+file+":1:21: root")
	assert.Contains(t, out, "[[route]]")
	text, err := os.ReadFile(filepath.Join(dir, "report.json"))
	require.NoError(t, err)
	var list []nginx.Verdict
	require.NoError(t, json.Unmarshal(text, &list))
	assert.True(t, slices.ContainsFunc(list, func(v nginx.Verdict) bool { return v.Name == "root" && v.Grade == "refused" }))
	code, _, said = run("import", "nginx", write("a {"))
	assert.Equal(t, cli.Failed, code)
	assert.Contains(t, said, "it ends within a block")
	code, _, _ = run("import", "apache", file)
	assert.Equal(t, cli.Misuse, code)
}
