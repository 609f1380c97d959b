package simulation

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Guards against a renamed or moved field in the JSON of results, which scripts read. Build f83df88 wrote the file in
// testdata with a different value in each field; decoding and encoding it must reproduce it.
func TestResultOfF83df88(t *testing.T) {
	old, err := os.ReadFile("testdata/f83df88-result.json")
	assert.NoError(t, err)
	var r Result
	dec := json.NewDecoder(bytes.NewReader(old))
	dec.DisallowUnknownFields()
	assert.NoError(t, dec.Decode(&r))
	text, err := json.MarshalIndent(r, "", " ")
	assert.NoError(t, err)
	assert.Equal(t, string(old), string(text)+"\n")
}
