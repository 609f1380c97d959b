package nginx

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"lockloom/internal/config"
	"lockloom/routes"
)

const overLoopback = 2000 // requests of one sample, at most

var server = regexp.MustCompile(`10\.0\.0\.\d+(:\d+)?`)

// Every sample that is carried whole is imported and served by the program, with stand-in servers behind it that say
// who they are: over loopback the same server, path, status and address as the reference tells.
func TestOverLoopback(t *testing.T) {
	dir := t.TempDir()
	program := filepath.Join(dir, "lockloom")
	out, err := exec.Command("go", "build", "-o", program, "lockloom/cmd/lockloom").CombinedOutput()
	require.NoError(t, err, string(out))
	var mu sync.Mutex
	stand := map[string]string{} // the sample's address of a server, and its stand-in's
	at := func(name string) string {
		if !strings.Contains(name, ":") {
			name += ":80"
		}
		mu.Lock()
		defer mu.Unlock()
		if stand[name] == "" {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { fmt.Fprint(w, name, " ", r.URL.RequestURI()) }))
			t.Cleanup(s.Close)
			stand[name] = strings.TrimPrefix(s.URL, "http://")
		}
		return stand[name]
	}
	free := func() string {
		ln, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)
		defer ln.Close()
		return ln.Addr().String()
	}
	launch := filepath.Join(dir, "launch.json")
	require.NoError(t, os.WriteFile(launch, []byte(`{"seed":"1","limits":{"cores":1,"memory_mb":64,"sockets":512},"known":{"version":0,"full":true,"servers":[]},
		"settings":{"Ceilings":{"MaxLegs":3},"Profiles":[{"Name":"x","Effect":"retryable","HardStopMs":1000,"Value":1}]}}`), 0o600))
	slots := make(chan bool, 4)
	var asked int
	t.Run("samples", func(t *testing.T) {
		for i, s := range samples(t) {
			if len(s.refused) > 0 || s.name == "limits" { // which would answer 429 at this pace
				continue
			}
			t.Run(s.name, func(t *testing.T) {
				t.Parallel()
				slots <- true
				defer func() { <-slots }()
				im := Convert(parsed(t, s.text), false)
				setup, faults := config.Read("x", []byte(im.Text))
				require.Empty(t, faults)
				door := free()
				text := server.ReplaceAllStringFunc(im.Text, at)
				for n, l := range setup.Listeners { // one listener of the sample's, wherever it is
					to := door
					if n > 0 {
						to = free()
					}
					text = strings.Replace(text, fmt.Sprintf("address = %q", l.Address), fmt.Sprintf("address = %q", to), 1)
				}
				own := filepath.Join(dir, fmt.Sprint(i))
				require.NoError(t, os.MkdirAll(own, 0o755))
				file := filepath.Join(own, "site.toml")
				require.NoError(t, os.WriteFile(file, []byte(text), 0o600))
				var log strings.Builder
				serve := exec.Command(program, "serve", "-operator", file)
				serve.Stderr = &log
				serve.Env = append(os.Environ(), "ROUTER_NAME=n0", "ROUTER_LISTEN="+free(), "ROUTER_DISCOVERY="+free(), "ROUTER_CONFIG="+launch, "TMPDIR="+own)
				require.NoError(t, serve.Start())
				defer func() { serve.Process.Kill(); serve.Wait() }()
				client := &http.Client{CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }, Transport: &http.Transport{}}
				defer client.CloseIdleConnections()
				ask := func(q *request) (outcome, error) {
					url := "http://" + door + q.path
					if q.query != "" {
						url += "?" + q.query
					}
					r, err := http.NewRequest(q.method, url, nil)
					if err != nil {
						return outcome{}, err
					}
					r.Host = q.host
					for name, v := range q.fields {
						if v != "" {
							r.Header.Set(name, v)
						}
					}
					a, err := client.Do(r)
					if err != nil {
						return outcome{}, err
					}
					defer a.Body.Close()
					body, err := io.ReadAll(a.Body)
					if who, path, ok := strings.Cut(string(body), " "); ok && strings.HasPrefix(who, "10.0.0.") {
						path, _, _ = strings.Cut(path, "?")
						return outcome{servers: []string{who}, path: path}, err
					}
					return outcome{status: a.StatusCode, location: a.Header.Get("Location"), body: string(body)}, err
				}
				require.Eventually(t, func() bool {
					_, err := ask(&request{host: "x", method: "GET", path: "/"})
					return err == nil
				}, 10*time.Second, 20*time.Millisecond, "%s", &log)
				list := parsed(t, s.text)
				all := requests(list)
				for k := 0; k < len(all); k += max(len(all)/overLoopback, 1) {
					q := &all[k]
					want := reference(list, q)
					got, err := ask(q)
					require.NoError(t, err)
					if len(want.servers) > 0 && len(got.servers) == 1 {
						assert.Contains(t, want.servers, got.servers[0], "%+v", q)
						want.servers = got.servers
						want.path, err = routes.NormalizePath(want.path)
						require.NoError(t, err)
					}
					if want.location != "" || want.status == 404 && len(want.body) == 0 {
						want.body, got.body = "", ""
					}
					want.body, got.body = strings.TrimSpace(want.body), strings.TrimSpace(got.body)
					if !assert.Equal(t, want, got, "%+v", q) {
						break
					}
					mu.Lock()
					asked++
					mu.Unlock()
				}
			})
		}
	})
	t.Log(asked, "requests,", len(stand), "stand-in servers")
	assert.Greater(t, asked, 20_000)
}
