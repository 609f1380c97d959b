package discovery

import (
	"encoding/json"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"

	"lockloom/balance"
)

const entryText = `{"id":"s-1","addr":"127.0.0.1:70","zone":"a","kind":"m2","cell":3,"state":"active",` +
	`"weight":1.0,"started_ms":1500}`

func TestUnmarshalList(t *testing.T) {
	for _, c := range []struct{ in, err string }{
		{`{"version":41,"full":true,"servers":[` + entryText + `]}`, ""},
		{`{"version":41,"full":true,"servers":[]}`, ""},
		{`{"full":true,"servers":[]}`, "version: missing"},
		{`{"version":41,"servers":[` + strings.Replace(entryText, "active", "odd", 1) + `]}`, `state: unknown: "odd"`},
		{`{"version":41,"servers":[` + strings.Replace(entryText, "s-1", "", 1) + `]}`, "id: missing"},
		{`{"version":41,"servers":[` + strings.Replace(entryText, ":70", "", 1) + `]}`, "addr: "},
		{`{"version":41,"servers":[` + strings.Replace(entryText, "1500", "-1", 1) + `]}`, "started_ms"},
		{`{"version":41,"servers":[` + strings.Replace(entryText, "1.0", "-1", 1) + `]}`, "weight: negative"},
		{`{"version":41,"servers":[` + entryText, "unexpected end"},
		{`[]`, "cannot unmarshal"},
	} {
		var list List
		err := json.Unmarshal([]byte(c.in), &list)
		if c.err != "" {
			assert.ErrorContains(t, err, c.err)
			continue
		}
		assert.NoError(t, err, c.in)
		assert.Equal(t, int64(41), list.Version)
		assert.True(t, list.Full)
		for _, e := range list.Entries {
			assert.Equal(t, "s-1", e.Name)
			assert.Equal(t, "127.0.0.1:70", e.Addr)
			assert.Equal(t, balance.Endpoint{Pod: 3, State: balance.Ready, Cores: 1, StartedAt: 1.5}, e.Endpoint)
		}
	}
}
