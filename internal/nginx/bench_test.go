package nginx

import (
	"fmt"
	"runtime"
	"strconv"
	"strings"
	"testing"
	"time"

	"lockloom/internal/config"
	"lockloom/routes"
)

// BenchmarkImport measures the time and the memory of converting and checking a configuration with n locations, and the
// time of one match in its routes.
func BenchmarkImport(b *testing.B) {
	for _, n := range []int{100, 10_000, 100_000} {
		b.Run(strconv.Itoa(n), func(b *testing.B) {
			var text strings.Builder
			text.WriteString("http { upstream u { server 10.0.0.1:81; } server { listen 80; server_name a.example;\n")
			for i := range n {
				fmt.Fprintf(&text, "location /p%d/ { proxy_pass http://u; proxy_read_timeout 5s; }\n", i)
			}
			text.WriteString("} }")
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			var check time.Duration
			var last *config.Config
			for b.Loop() {
				converted := Convert(parsed(b, text.String()), false)
				start := time.Now()
				setup, faults := config.Parse("x", []byte(converted.Text))
				if len(faults) > 0 {
					b.Fatal(faults[0])
				}
				last = setup
				check += time.Since(start)
			}
			runtime.ReadMemStats(&after)
			b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/float64(b.N)/(1<<20), "MiB/op")
			b.ReportMetric((b.Elapsed()-check).Seconds()/float64(b.N), "import-s")
			b.ReportMetric(check.Seconds()/float64(b.N), "check-s")
			const matches = 100_000
			start := time.Now()
			for i := range matches {
				path := "/p" + strconv.Itoa(i%n) + "/x"
				last.RouteTable.Match(&routes.Request{Host: "a.example", Method: "GET", Path: path, Fields: &request{}})
			}
			b.ReportMetric(float64(time.Since(start).Nanoseconds())/matches, "match-ns")
		})
	}
}
