package settings

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"lockloom/balance"
)

func TestParseLoadReport(t *testing.T) {
	for text, want := range map[string]balance.LoadReport{
		"outstanding:3.5,utilization:0.25": {InFlight: 3.5, Utilization: 0.25},
		"utilization:1, outstanding: 0":    {InFlight: 0, Utilization: 1},
		"novel:7,outstanding:2":            {InFlight: 2, Utilization: notReported},
		"":                                 {InFlight: notReported, Utilization: notReported},
		"outstanding":                      {InFlight: notReported, Utilization: notReported},
		"outstanding:x,utilization:NaN":    {InFlight: notReported, Utilization: notReported},
		"outstanding:-1,utilization:1e300": {InFlight: notReported, Utilization: notReported},
	} {
		assert.Equal(t, want, ParseLoadReport(text), text)
	}
}
