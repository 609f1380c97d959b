package controlplane

import (
	"fmt"
	"io"
	"os"
	"os/exec"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	core "github.com/envoyproxy/go-control-plane/envoy/config/core/v3"
	"github.com/stretchr/testify/require"
)

// BenchmarkDrain tells what a drain costs at so many subscribers of a pool of so many servers, and when it is at the last of them. The
// subscribers are in the same process: they have most of the processor time.
func BenchmarkDrain(b *testing.B) {
	for _, servers := range []int{10, 1000, 5000} {
		for _, subscribers := range []int{10, 100, 1000} {
			if servers*subscribers > 1_000_000 { // more memory than a machine of ours has, for the subscribers
				continue
			}
			for _, delta := range []bool{true, false} {
				b.Run(fmt.Sprintf("servers=%d/subscribers=%d/delta=%v", servers, subscribers, delta), func(b *testing.B) {
					k := startService(b, configText(""), servers)
					var all []*testSubscriber
					for i := range subscribers {
						all = append(all, k.subscribe(subscriberOptions{id: fmt.Sprint(i), delta: delta, endpointsOnly: true, discard: true}))
					}
					for _, s := range all {
						s.waitUntil(30*time.Second, "is told", func() bool { return s.responseCount > 0 })
					}
					var took []time.Duration
					bytes, used := 0, processorTime()
					for n := range b.N {
						var wait sync.WaitGroup
						seen := make([]int, len(all))
						for i, s := range all {
							s.mu.Lock()
							seen[i] = s.responseCount
							bytes -= s.receivedBytes
							s.mu.Unlock()
						}
						began := time.Now()
						k.drain(n % servers)
						for i, s := range all {
							wait.Go(func() { s.waitUntil(30*time.Second, "is told", func() bool { return s.responseCount > seen[i] }) })
						}
						wait.Wait()
						took = append(took, time.Since(began))
						for _, s := range all {
							s.mu.Lock()
							bytes += s.receivedBytes
							s.mu.Unlock()
						}
						time.Sleep(50 * time.Millisecond) // acknowledgements
					}
					used = processorTime() - used
					slices.Sort(took)
					b.ReportMetric(took[len(took)/2].Seconds()*1000, "median-ms")
					b.ReportMetric(took[len(took)-1].Seconds()*1000, "worst-ms")
					b.ReportMetric(float64(bytes)/float64(b.N*subscribers), "bytes/answer")
					b.ReportMetric(used.Seconds()*1000/float64(b.N), "cpu-ms/drain")
					for _, s := range all {
						s.stop()
					}
					for _, s := range all {
						<-s.done
					}
					k.stop()
				})
			}
		}
	}
}

// BenchmarkSubscriber tells what a subscriber takes of the service's memory; the subscribers are another process.
func BenchmarkSubscriber(b *testing.B) {
	const many, servers = 1000, 1000
	for range b.N {
		k := startService(b, configText(""), servers)
		k.observe()
		before := memoryInUse()
		others := exec.Command(os.Args[0], "-test.run", "^TestSubscribersApart$")
		others.Env = append(os.Environ(), subscribersVar+"="+k.addr+" "+strconv.Itoa(many))
		in, err := others.StdinPipe()
		require.NoError(b, err)
		require.NoError(b, others.Start())
		require.Eventually(b, func() bool {
			rows := k.Subscribers()
			for _, r := range rows {
				if len(r.Resources) == 0 || !r.Resources[0].UpToDate {
					return false
				}
			}
			return len(rows) == many
		}, 30*time.Second, 50*time.Millisecond)
		time.Sleep(time.Second)
		b.ReportMetric(float64(memoryInUse()-before)/many/1024, "KiB/subscriber")
		in.Close()
		others.Wait()
		k.stop()
	}
}

const subscribersVar = "LOCKLOOM_TEST_SUBSCRIBERS"

// TestSubscriberProcess is the other process of BenchmarkSubscriber; alone it does nothing.
func TestSubscriberProcess(t *testing.T) {
	addr, n, ok := strings.Cut(os.Getenv(subscribersVar), " ")
	if !ok {
		t.Skip("for BenchmarkSubscriber")
	}
	many, err := strconv.Atoi(n)
	require.NoError(t, err)
	k := &testService{t: t, addr: addr}
	for i := range many {
		k.subscribe(subscriberOptions{id: fmt.Sprint(i), delta: i%2 == 0, endpointsOnly: true, discard: true})
	}
	io.Copy(io.Discard, os.Stdin) // until it is closed
}

func memoryInUse() uint64 {
	for range 3 { // buffers that wait in a pool to be used again are gone after two
		runtime.GC()
	}
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapInuse + m.StackInuse
}

func processorTime() time.Duration {
	var u syscall.Rusage
	syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// 500 subscribers that come back at once, each with what it held, are told what differs and cut nobody.
func TestManySubscribersReconnectAtOnce(t *testing.T) {
	const many = 500
	k := startService(t, configText(""), 50)
	all := make([]*testSubscriber, many)
	for i := range all {
		all[i] = k.subscribe(subscriberOptions{id: fmt.Sprint(i), delta: i%2 == 0, endpointsOnly: true})
	}
	for _, s := range all {
		s.waitUntil(20*time.Second, "holds all", s.isComplete)
	}
	for _, s := range all {
		s.close()
	}
	next := startService(t, configText(""), 50)
	began := time.Now()
	for i, s := range all {
		all[i] = next.subscribe(subscriberOptions{id: s.id, delta: s.delta, endpointsOnly: true, resumeFrom: s})
	}
	require.Eventually(t, func() bool { return len(next.Subscribers()) == many }, 20*time.Second, 10*time.Millisecond)
	next.drain(7)
	for _, s := range all {
		s.waitUntil(20*time.Second, "is told", s.hasHealth("s7", core.HealthStatus_DRAINING))
	}
	t.Logf("%d back, and told of a drain, after %v", many, time.Since(began))
}
