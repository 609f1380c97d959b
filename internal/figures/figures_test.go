package figures

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"lockloom/balance"
)

func TestReport(t *testing.T) {
	for text, want := range map[string]balance.Report{
		"outstanding:3.5,utilization:0.25": {Held: 3.5, Busy: 0.25},
		"utilization:1, outstanding: 0":    {Held: 0, Busy: 1},
		"novel:7,outstanding:2":            {Held: 2, Busy: untold},
		"":                                 {Held: untold, Busy: untold},
		"outstanding":                      {Held: untold, Busy: untold},
		"outstanding:x,utilization:NaN":    {Held: untold, Busy: untold},
		"outstanding:-1,utilization:1e300": {Held: untold, Busy: untold},
	} {
		assert.Equal(t, want, Report(text), text)
	}
}
