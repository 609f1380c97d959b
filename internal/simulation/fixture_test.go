package simulation

import (
	"bytes"
	"encoding/json"
	"os"
	"testing"

	"github.com/stretchr/testify/assert"
)

// Scripts read results: the JSON in testdata was written by build f83df88 with another value in each field, and comes
// out the same when the present build reads and writes it: no field has another name or place.
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
