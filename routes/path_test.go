package routes

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
)

func TestNormalizePath(t *testing.T) {
	for path, want := range map[string]string{ // "": rejected
		"/":                "/",
		"/a/b":             "/a/b",
		"//a///b//":        "/a/b/",
		"/a/./b/../c":      "/a/c",
		"/a/..":            "/",
		"/a/b/..":          "/a/",
		"/a/.":             "/a/",
		"/%61%2d%7E":       "/a-~",
		"/a%2fb":           "/a%2Fb",
		"/%2e%2e":          "",
		"/a/%2e%2E/b":      "/b",
		"/.well-known/x":   "/.well-known/x",
		"/é":               "/%C3%A9",
		"/a%3bb;c=1":       "/a%3Bb;c=1",
		"/...":             "/...",
		"/..a/":            "/..a/",
		"":                 "",
		"a":                "",
		"*":                "",
		"/..":              "",
		"/a/../..":         "",
		"/%":               "",
		"/%2":              "",
		"/%zz":             "",
		"/%00":             "",
		"/a b":             "",
		"/a\\b":            "",
		"/a\x01":           "",
		"/a/..;x/b":        "",
		"/a/.;/b":          "",
		"/a/..%2f..%2Fetc": "",
		"/a/%2e%2e%5cb":    "",
		"/a#b":             "",
		"/a?b":             "",
		"/a%2f%2fb":        "/a%2F%2Fb",
	} {
		got, err := NormalizePath(path)
		assert.Equal(t, want, got, path)
		assert.Equal(t, want == "", err != nil, path)
	}
}

func TestParseTarget(t *testing.T) {
	for target, want := range map[string][3]string{ // host, path and query; none: rejected
		"/a?b=c":              {"", "/a", "b=c"},
		"http://x.org/a?b":    {"x.org", "/a", "b"},
		"HTTP://x.org:80":     {"x.org:80", "/", ""},
		"http://x.org?q=/../": {"x.org", "/", "q=/../"},
		"/a://b":              {"", "/a:/b", ""},
		"ftp://x/a":           {},
		"http:///a":           {},
		"http://u@x/a":        {},
		"/a#b":                {},
		"/a?b#c":              {},
		"x.org:443":           {},
		"*":                   {},
	} {
		host, path, query, err := ParseTarget(target)
		if want[1] == "" {
			assert.Error(t, err, target)
			continue
		}
		assert.NoError(t, err, target)
		assert.Equal(t, want, [3]string{host, path, query}, target)
	}
}

func TestNormalizeHost(t *testing.T) {
	for host, want := range map[string]string{
		"X.org:8080": "x.org", "x.ORG.": "x.org", "[::1]:80": "[::1]", "x": "x", "": "",
	} {
		assert.Equal(t, want, NormalizeHost(host))
	}
}

// Guards against a normal path that servers interpret differently: normalizing it again must not change it, and it must
// not contain dot segments or repeated slashes, even if escaped slashes are decoded.
func FuzzNormal(f *testing.F) {
	for _, seed := range []string{"/a/b", "//a/./%2e%2E/b%2f", "/%61;x/..", "/a/..%5c", "/\xff\x80", "/a%2F..%2fb"} {
		f.Add(seed)
	}
	f.Fuzz(func(t *testing.T, path string) {
		normal, err := NormalizePath(path)
		if err != nil {
			return
		}
		if again, err := NormalizePath(normal); err != nil || again != normal {
			t.Fatalf("%q is normalized to %q, and that to %q (error %v)", path, normal, again, err)
		}
		if normal[0] != '/' || strings.Contains(normal, "//") || strings.ContainsAny(normal, " \\?#\x00") {
			t.Fatalf("%q is normalized to %q, which has an invalid character", path, normal)
		}
		decoded := strings.NewReplacer("%2F", "/", "%5C", "/").Replace(normal)
		for segment := range strings.SplitSeq(decoded, "/") {
			if bare, _, _ := strings.Cut(segment, ";"); bare == "." || bare == ".." {
				t.Fatalf("%q is normalized to %q, which has a dot segment", path, normal)
			}
		}
	})
}

func BenchmarkNormalizePath(b *testing.B) {
	b.ReportAllocs()
	for b.Loop() {
		if _, err := NormalizePath("/petitions/17/region-4/page.html"); err != nil {
			b.Fatal(err)
		}
	}
}
