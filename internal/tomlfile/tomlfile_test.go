package tomlfile

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestErrorsHaveTheirPosition(t *testing.T) {
	type pool struct {
		Name string `toml:"name"`
	}
	var into struct {
		Seed  int    `toml:"seed"`
		Pools []pool `toml:"pool"`
	}
	file, errs := Decode("f.toml", []byte("seed = 1\n[[pool]]\nname = \"a\"\n[[pool]]\n  name = \"b\"\n"), &into)
	require.Empty(t, errs)
	assert.EqualError(t, file.ErrorAt("", 0, "seed", "%d", into.Seed), "f.toml:1:1: seed: 1")
	assert.EqualError(t, file.ErrorAt("pool", 2, "name", "missing"), "f.toml:5:3: pool: name: missing")
	assert.EqualError(t, file.ErrorAt("pool", 2, "other", "missing"), "f.toml:4:1: pool: other: missing")
	assert.EqualError(t, file.ErrorAt("route", 0, "", "there is none"), "f.toml: route: there is none")

	_, errs = Decode("f.toml", []byte("sead = 1\n[[pool]]\nnane = \"a\"\n"), &into)
	require.Len(t, errs, 2, "every unknown field is reported")
	assert.EqualError(t, errs[0], "f.toml:1:1: sead: no such field, did you mean seed?")
	assert.EqualError(t, errs[1], "f.toml:3:1: pool.nane: no such field, did you mean name?")
}
