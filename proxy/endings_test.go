package proxy

import (
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
)

// Danger: the platform waits 3 s for the longest hard stop and no longer; whoever plans on more is killed with lookups in hand.
func TestStopIsOverWhenThePlatformKills(t *testing.T) {
	for _, c := range []struct{ hardStop, left float64 }{{0.5, 0.5}, {3, 3}, {3.4, 3}, {60, 3}} {
		synctest.Test(t, func(t *testing.T) {
			y := serve(t, map[string][]string{"b1": {silent}}, func(l *Launch) {
				l.Tariffs = l.Tariffs[2:]
				l.Tariffs[0].HardStop = c.hardStop
			})
			conn := y.client()
			go io.WriteString(conn, "GET /up HTTP/1.1\r\n\r\n")
			answer(conn)
			ordered := time.Now()
			y.stop()
			left := seconds(c.left) + killAfter
			time.Sleep(left - lastServe - 10*time.Millisecond) // the last moment to take it
			go io.WriteString(conn, strings.Replace(sms, "In: 0.5", "In: 60", 1))
			status, h, _, err := answer(conn)
			assert.NoError(t, err, "hard stop %v", c.hardStop)
			assert.Equal(t, 502, status, "it may have run")
			assert.True(t, h.Close)
			assert.NoError(t, <-y.served)
			assert.Less(t, time.Since(ordered), left, "hard stop %v", c.hardStop)
			conn.Close()
			time.Sleep(time.Minute)
		})
	}
}
