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

// benchmarkTimeout limits the time until all subscribers have received a change.
const benchmarkTimeout = 30 * time.Second

// BenchmarkDrain measures, for several numbers of subscribers and servers of the pool, what a drain costs and how long
// it takes to reach the last subscriber. The subscribers run in the same process and use most of the processor time.
func BenchmarkDrain(b *testing.B) {
	const maxEndpoints = 1_000_000 // of all subscribers together; more do not fit in memory
	for _, servers := range []int{10, 1000, 5000} {
		for _, subscribers := range []int{10, 100, 1000} {
			if servers*subscribers > maxEndpoints {
				continue
			}
			for _, delta := range []bool{true, false} {
				name := fmt.Sprintf("servers=%d/subscribers=%d/delta=%v", servers, subscribers, delta)
				b.Run(name, func(b *testing.B) { benchmarkDrain(b, servers, subscribers, delta) })
			}
		}
	}
}

func benchmarkDrain(b *testing.B, servers, count int, delta bool) {
	b.Helper()
	service := startService(b, configText(""), servers)
	var subscribers []*testSubscriber
	for i := range count {
		options := subscriberOptions{id: fmt.Sprint(i), delta: delta, endpointsOnly: true, discard: true}
		subscribers = append(subscribers, service.subscribe(options))
	}
	waitForResponses(subscribers, make([]int, len(subscribers)))
	var delays []time.Duration
	receivedBytes, cpuTime := 0, processorTime()
	for n := range b.N {
		responses, before := received(subscribers)
		start := time.Now()
		service.drain(n % servers)
		waitForResponses(subscribers, responses)
		delays = append(delays, time.Since(start))
		_, after := received(subscribers)
		receivedBytes += after - before
		time.Sleep(50 * time.Millisecond) // let the acknowledgements arrive
	}
	cpuTime = processorTime() - cpuTime
	slices.Sort(delays)
	b.ReportMetric(delays[len(delays)/2].Seconds()*1000, "median-ms")
	b.ReportMetric(delays[len(delays)-1].Seconds()*1000, "worst-ms")
	b.ReportMetric(float64(receivedBytes)/float64(b.N*count), "bytes/answer")
	b.ReportMetric(cpuTime.Seconds()*1000/float64(b.N), "cpu-ms/drain")
	for _, subscriber := range subscribers {
		subscriber.stop()
	}
	for _, subscriber := range subscribers {
		<-subscriber.done
	}
	service.stop()
}

// waitForResponses waits until each subscriber has received more responses than before.
func waitForResponses(subscribers []*testSubscriber, before []int) {
	var waiters sync.WaitGroup
	for i, subscriber := range subscribers {
		waiters.Go(func() {
			subscriber.waitUntil(benchmarkTimeout, "receives a response", func() bool {
				return subscriber.responseCount > before[i]
			})
		})
	}
	waiters.Wait()
}

// received returns how many responses each subscriber has received, and how many bytes all of them together.
func received(subscribers []*testSubscriber) (responses []int, bytes int) {
	for _, subscriber := range subscribers {
		subscriber.mu.Lock()
		responses = append(responses, subscriber.responseCount)
		bytes += subscriber.receivedBytes
		subscriber.mu.Unlock()
	}
	return responses, bytes
}

// BenchmarkSubscriber measures the service's memory per subscriber. The subscribers run in a child process, so that
// their own memory is not counted.
func BenchmarkSubscriber(b *testing.B) {
	const subscribers, servers = 1000, 1000
	for range b.N {
		service := startService(b, configText(""), servers)
		service.observe()
		before := memoryInUse()
		process := exec.Command(os.Args[0], "-test.run", "^TestSubscriberProcess$")
		process.Env = append(os.Environ(), subscribersVar+"="+service.addr+" "+strconv.Itoa(subscribers))
		input, err := process.StdinPipe()
		require.NoError(b, err)
		require.NoError(b, process.Start())
		require.Eventually(b, func() bool {
			statuses := service.Subscribers()
			isBehind := func(s SubscriberStatus) bool { return len(s.Resources) == 0 || !s.Resources[0].UpToDate }
			return len(statuses) == subscribers && !slices.ContainsFunc(statuses, isBehind)
		}, benchmarkTimeout, 50*time.Millisecond)
		time.Sleep(time.Second)
		b.ReportMetric(float64(memoryInUse()-before)/subscribers/1024, "KiB/subscriber")
		require.NoError(b, input.Close())
		require.NoError(b, process.Wait())
		service.stop()
	}
}

// subscribersVar is an environment variable for TestSubscriberProcess. It holds the service's address and the number of
// subscribers to open, separated by a space.
const subscribersVar = "LOCKLOOM_TEST_SUBSCRIBERS"

// TestSubscriberProcess runs the subscribers of BenchmarkSubscriber, which starts it in a child process. It is skipped
// if the environment variable subscribersVar is not set.
func TestSubscriberProcess(t *testing.T) {
	addr, count, ok := strings.Cut(os.Getenv(subscribersVar), " ")
	if !ok {
		t.Skip("for BenchmarkSubscriber")
	}
	subscribers, err := strconv.Atoi(count)
	require.NoError(t, err)
	service := &testService{tb: t, addr: addr}
	for i := range subscribers {
		options := subscriberOptions{id: fmt.Sprint(i), delta: i%2 == 0, endpointsOnly: true, discard: true}
		service.subscribe(options)
	}
	_, err = io.Copy(io.Discard, os.Stdin) // until it is closed
	require.NoError(t, err)
}

// memoryInUse returns the bytes of heap and stacks in use.
func memoryInUse() uint64 {
	for range 3 { // a sync.Pool keeps unused objects for up to two collections
		runtime.GC()
	}
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapInuse + stats.StackInuse
}

// processorTime returns the processor time that this process has used.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err) // the arguments are constant
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// Subscribers that reconnect at the same time, each with the resources that it has, receive the changes, and none is
// disconnected.
func TestManySubscribersReconnectAtOnce(t *testing.T) {
	const count, timeout = 500, 20 * time.Second
	service := startService(t, configText(""), 50)
	subscribers := make([]*testSubscriber, count)
	for i := range subscribers {
		options := subscriberOptions{id: fmt.Sprint(i), delta: i%2 == 0, endpointsOnly: true}
		subscribers[i] = service.subscribe(options)
	}
	for _, subscriber := range subscribers {
		subscriber.waitUntil(timeout, "has everything", subscriber.isComplete)
	}
	for _, subscriber := range subscribers {
		subscriber.close()
	}
	next := startService(t, configText(""), 50)
	start := time.Now()
	for i, earlier := range subscribers {
		options := subscriberOptions{id: earlier.id, delta: earlier.delta, endpointsOnly: true, resumeFrom: earlier}
		subscribers[i] = next.subscribe(options)
	}
	areConnected := func() bool { return len(next.Subscribers()) == count }
	require.Eventually(t, areConnected, timeout, 10*time.Millisecond)
	next.drain(7)
	for _, subscriber := range subscribers {
		subscriber.waitUntil(timeout, "receives the drain", subscriber.hasHealth("s7", core.HealthStatus_DRAINING))
	}
	t.Logf("%d subscribers reconnected and received a drain within %v", count, time.Since(start))
}
