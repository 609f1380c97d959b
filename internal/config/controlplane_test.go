package config

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// minimalFile holds the tables that every file needs besides the one under test.
const minimalFile = `
[[tariff]]
name = "t"
hard_stop = 1.0
[[pool]]
name = "p"
[[route]]
name = "r"
prefix = "/"
pool = "p"
`

// checkTable checks that the first error of a file that begins with a table contains want; if want is empty, that there
// is no error.
func checkTable(t *testing.T, header, table, want string) {
	t.Helper()
	_, errs := Parse("f.toml", []byte(header+"\n"+table+minimalFile))
	if want == "" {
		assert.Empty(t, errs, table)
	} else if assert.NotEmpty(t, errs, table) {
		assert.Contains(t, errs[0].Error(), want, table)
	}
}

func TestControlPlaneErrors(t *testing.T) {
	const (
		address      = "address = \"127.0.0.1:1\"\n"
		certificates = "certificate = \"c\"\nkey = \"k\"\nauthority = \"a\"\n"
	)
	for _, c := range []struct{ table, want string }{
		{address, ""},
		{`address = "[::1]:1"` + "\nstatus = \"localhost:2\"", ""},
		{`address = "0.0.0.0:1"` + "\n" + certificates + "[[control.allow]]\nname = \"edge-*\"\npools = [\"p\"]", ""},
		{`address = "1"`, "f.toml:2:1: control: address: address 1: missing port"},
		{`address = "0.0.0.0:1"`, "f.toml:2:1: control: address: 0.0.0.0:1: must be a loopback address"},
		{
			`address = "0.0.0.0:1"` + "\nstatus = \"0.0.0.0:2\"\n" + certificates,
			"f.toml:3:1: control: status: 0.0.0.0:2: must be a loopback address",
		},
		{address + `key = "k"`, "f.toml:1:1: control: certificate: certificate, key and authority must be set together"},
		{address + "subscribers = -1", "f.toml:3:1: control: subscribers: -1: must be between"},
		{address + "[[control.allow]]\nname = \"x\"", "control: allow: requires certificate, key and authority"},
		{
			address + certificates + "[[control.allow]]\npools = [\"q\"]",
			"f.toml:6:1: control.allow: name: missing",
		},
		{
			address + certificates + "[[control.allow]]\nname = \"x\"\npools = [\"q\"]",
			`f.toml:8:1: control.allow: pools: unknown pool "q"`,
		},
		{address + "[[control.subset]]\nnode = \"x\"", "f.toml:3:1: control.subset: pools: missing"},
		{`addresz = "127.0.0.1:1"`, "f.toml:2:1: control.addresz: no such field, did you mean address?"},
	} {
		checkTable(t, "[control]", c.table, c.want)
	}
}

func TestCaptureErrors(t *testing.T) {
	for table, want := range map[string]string{
		"dir = \"x\"\nring_mb = 9\ndismissed = 0.1\naddress = \"127.0.0.1:1\"": "",
		"on = true":                             "f.toml:1:1: capture: dir: missing",
		"dir = \"x\"\naddress = \"10.0.0.1:1\"": "f.toml:3:1: capture: address: 10.0.0.1:1: must be a loopback address",
		"dir = \"x\"\ndismissed = 0.1":          "f.toml:3:1: capture: dismissed: requires ring_mb above 0",
		"dir = \"x\"\ntotal_mb = -1":            "f.toml:3:1: capture: total_mb: -1",
		"dir = \"x\"\nring = 1":                 "f.toml:3:1: capture.ring: no such field",
	} {
		checkTable(t, "[capture]", table, want)
	}
}

func TestAllowedNames(t *testing.T) {
	allow := Allow{Name: "edge-*"}
	assert.True(t, allow.Matches("edge-1") && !allow.Matches("core-1") && !allow.Matches("edge"))
	allow.Name = "one"
	assert.True(t, allow.Matches("one") && !allow.Matches("one-1"))
}
