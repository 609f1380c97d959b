package settings

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"lockloom/balance"
)

func TestReport(t *testing.T) {
	for text, want := range map[string]balance.LoadReport{
		"outstanding:3.5,utilization:0.25": {InFlight: 3.5, Utilization: 0.25},
		"utilization:1, outstanding: 0":    {InFlight: 0, Utilization: 1},
		"novel:7,outstanding:2":            {InFlight: 2, Utilization: untold},
		"":                                 {InFlight: untold, Utilization: untold},
		"outstanding":                      {InFlight: untold, Utilization: untold},
		"outstanding:x,utilization:NaN":    {InFlight: untold, Utilization: untold},
		"outstanding:-1,utilization:1e300": {InFlight: untold, Utilization: untold},
	} {
		assert.Equal(t, want, ParseLoadReport(text), text)
	}
}
