package proxy

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

	"lockloom/internal/discovery"
)

// replacedBy returns a list in which a server has the address that "b1" had.
func replacedBy(id string, full bool) string {
	return fmt.Sprintf(`{"version":3,"full":%v,"servers":[{"id":%q,"addr":"b1:1","state":"active","started_ms":%d}]}`,
		full, id, time.Now().UnixMilli())
}

// Guards against taking a new server for the one that was removed from its address: where removal is advisory, the
// answers of the new one kept the old one in use, with its share of the requests and past the new one's slow start.
func TestRemovedServerIsNotUsedOnceItsAddressIsTaken(t *testing.T) {
	const removed = `{"version":2,"full":true,"servers":[]}`
	started := func(entry *discovery.Entry) bool { return entry.StartedAt > 0 }
	for _, c := range []struct {
		name    string
		lists   []string                    // after those with "b1"
		accepts func(*discovery.Entry) bool // by the pool; nil: all
	}{
		{"removed and replaced by a full list", []string{"full"}, nil},
		{"the same, a pool of some servers", []string{"full"}, started},
		{"removed before", []string{removed, "change"}, nil},
		{"removed before, full list", []string{removed, "full"}, nil},
		{"removed by a change", []string{listChange(2, "b1", "left", 0), "change"}, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				env := newEnv(t, map[string][]string{"b1": {okResponse}, "any": {okResponse}}, func(cfg *BootstrapConfig) {
					cfg.RemovalIsAdvisory = true
				})
				env.pools.platform.accepts = c.accepts
				env.start()
				sent := 0
				request := func() {
					sent++
					status, _, _, err := env.roundTrip(strings.Replace(idempotentRequest, "t1", fmt.Sprint("t", sent), 1))
					assert.NoError(t, err, c.name)
					assert.Equal(t, 200, status, c.name)
					time.Sleep(2 * serverReuseDelay)
				}
				env.updateList(listChange(2, "b1", "active", 946684800000))
				for range 5 {
					request()
				}
				for _, list := range c.lists {
					switch list {
					case "full", "change":
						env.updateList(replacedBy("b2", list == "full"))
					default:
						env.updateList(list)
						request()
					}
				}
				for range 5 {
					request()
				}
				env.post(func() {
					if index, found := env.registry.Find("b1"); found {
						assert.False(t, env.pools.inUse(index), c.name)
					}
					index, found := env.registry.Find("b2")
					assert.True(t, found && env.pools.inUse(index), c.name)
				})
				env.stopAndWait()
			})
		})
	}
}

// Guards against sending an attempt to the server that has taken the address of another while the attempt's connection
// was being opened.
func TestAttemptIsNotSentToTheSuccessorOfItsServer(t *testing.T) {
	list := func(full bool, servers string) string {
		return fmt.Sprintf(`{"version":3,"full":%v,"servers":[%s]}`, full, servers)
	}
	for _, c := range []struct {
		name string
		list string
		want int // requests at the address of "b1" within 0.1 s
	}{
		{"nothing has changed", list(false, ""), 1},
		{"another server has its address", list(true, `{"id":"b2","addr":"b1:1","state":"leaving"}`), 0},
		{"it has restarted", list(false, `{"id":"b1","addr":"b1:1","state":"active","started_ms":1}`), 0},
		{"it has moved", list(false, `{"id":"b1","addr":"b9:1","state":"active"}`), 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				behaviors := map[string][]string{"b1": {okResponse}, "b1:1": {okResponse}, "b9:1": {refuseConnection}}
				env := newEnv(t, behaviors, func(cfg *BootstrapConfig) { cfg.RemovalIsAdvisory = true })
				env.dialDelay = 60 * time.Millisecond
				env.start()
				env.updateList(listChange(2, "b1", "active", 0))
				conn := env.connect()
				go write(conn, idempotentRequest)
				synctest.Wait()
				env.updateList(c.list)
				time.Sleep(100 * time.Millisecond) // a second attempt would come later
				synctest.Wait()
				assert.Equal(t, c.want, env.requestsByServer()["b1"], c.name)
				conn.Close()
				env.stopAndWait()
			})
		})
	}
}
