package proxy

import (
	"bytes"
	"math"
	"strconv"
	"time"

	"lockloom/balance"
	"lockloom/internal/http1"
	"lockloom/internal/settings"
)

// maxClientWaitSeconds caps the client wait in X-Expires-In.
const maxClientWaitSeconds = 60.0

// readinessPath is the path of the readiness check: whether the proxy accepts clients.
const readinessPath = "/up"

// noTenant is the tenant of a request without X-Customer.
const noTenant = -1

// singletonFields are the header fields that identify a request and decide how it may be retried. They must not be
// repeated: a server might use another occurrence than this proxy does.
var singletonFields = []string{"X-Trace-Id", "X-Qos", "X-Expires-In", "Idempotency-Key"}

// interpretPlatformHead interprets the head of a request with the platform's own fields, or answers a readiness check.
func (r *requestReader) interpretPlatformHead() error {
	p, head := r.conn.proxy, r.head
	head.Target = originForm(head.Target)
	path, query, _ := bytes.Cut(head.Target, []byte{'?'})
	if string(path) == readinessPath {
		r.direct = p.readinessResponse()
		return nil
	}
	var err error
	if r.info, err = p.parseRequestInfo(head, path, query, r.receivedAt); err != nil {
		return err
	}
	class := &p.bootstrap.Classes[r.info.Class]
	if !r.admitNow(class) {
		r.rejectOverload()
		return nil
	}
	r.req = &request{
		pool:      p.pools.platform,
		class:     class,
		arrivedAt: p.toUnixSeconds(r.receivedAt),
		deadline:  r.info.Deadline,
		id:        string(head.Get("X-Trace-Id")),
		response:  make(chan response, 1),
	}
	r.req.head = http1.AppendRequestLine(make([]byte, 0, forwardedHeadBytes(head.Size)), head.Method, head.Target)
	r.req.head = http1.AppendForwardedFields(r.req.head, head, "X-Expires-In")
	return nil
}

// parseRequestInfo parses a request's head into the input of the balancer. The error is an *http1.Error.
func (p *Proxy) parseRequestInfo(
	head *http1.Head, path, query []byte, receivedAt time.Time,
) (balance.RequestInfo, error) {
	info := balance.RequestInfo{Tenant: noTenant}
	class, err := p.requestClass(head, path)
	if err != nil {
		return info, err
	}
	wait, err := p.checkPlatformFields(head, path, class)
	if err != nil {
		return info, err
	}
	info.Class = class
	info.Deadline = p.toUnixSeconds(receivedAt) + min(wait, maxClientWaitSeconds)
	info.Deadline = p.shutdown.bound(info.Deadline, p.clock)
	info.ClientRetry = string(head.Get("X-Second-Try")) == "1"
	if name := head.Get("X-Customer"); name != nil {
		info.Tenant = p.registry.Tenant(string(name))
	}
	info.Key = affinityKey(query)
	info.ExpectedWork = expectedWork(head.Get("X-Props"))
	return info, nil
}

func badRequest(text string) error {
	return &http1.Error{Status: http1.StatusBadRequest, Text: text}
}

// firstSegment returns a path's first segment.
func firstSegment(path []byte) []byte {
	first, _, _ := bytes.Cut(bytes.TrimPrefix(path, []byte{'/'}), []byte{'/'})
	return first
}

// requestClass returns the index of the class that a request names in X-Qos. A path whose first segment is not the name
// of a class does not exist.
func (p *Proxy) requestClass(head *http1.Head, path []byte) (int, error) {
	named := head.Get("X-Qos")
	class, known := p.registry.Class(string(named))
	_, pathExists := p.registry.Class(string(firstSegment(path)))
	if !bytes.HasPrefix(path, []byte{'/'}) || !pathExists && (known || named == nil) {
		return 0, &http1.Error{Status: http1.StatusNotFound, Text: "no such path"}
	}
	if !known {
		return 0, badRequest("unknown tariff")
	}
	return class, nil
}

// checkPlatformFields checks the method and the fields that a request of a class must have, and returns how many
// seconds its client waits.
func (p *Proxy) checkPlatformFields(head *http1.Head, path []byte, class int) (wait float64, err error) {
	for _, name := range singletonFields {
		if head.HasRepeated(name) {
			return 0, badRequest(name + " twice")
		}
	}
	method := string(head.Method)
	isGet, idempotency := method == http1.MethodGet, p.bootstrap.Classes[class].Idempotency
	wait, err = strconv.ParseFloat(string(head.Get("X-Expires-In")), 64)
	switch {
	case isGet && (head.Length > 0 || head.Chunked): // a server that expects none would parse it as a request
		return 0, badRequest("GET with a body")
	case !bytes.Equal(firstSegment(path), head.Get("X-Qos")):
		return 0, badRequest("path and X-Qos differ")
	case len(head.Get("X-Trace-Id")) == 0:
		return 0, badRequest("no X-Trace-Id")
	case !isGet && method != http1.MethodPost:
		return 0, &http1.Error{Status: http1.StatusNotImplemented, Text: "method not known"}
	case isGet && idempotency != balance.Idempotent:
		return 0, badRequest("method does not fit the tariff")
	case idempotency == balance.Keyed && len(head.Get("Idempotency-Key")) == 0:
		return 0, badRequest("no Idempotency-Key")
	case err != nil || math.IsNaN(wait) || math.IsInf(wait, 0):
		return 0, badRequest("no X-Expires-In")
	}
	return wait, nil
}

// affinityKey returns the hash of the last user parameter of a query; 0: there is none.
func affinityKey(query []byte) uint64 {
	key := uint64(0)
	for part := range bytes.SplitSeq(query, []byte{'&'}) {
		if user, ok := bytes.CutPrefix(part, []byte("user=")); ok {
			key = settings.NameHash(string(user))
		}
	}
	return key
}

// expectedWork returns the expected processing time from X-Props in seconds; 0: there is none.
func expectedWork(props []byte) float64 {
	work := 0.0
	for part := range bytes.SplitSeq(props, []byte{','}) {
		hint, ok := bytes.CutPrefix(bytes.TrimSpace(part), []byte("ExpectedMs="))
		if !ok {
			continue
		}
		if ms, err := strconv.ParseFloat(string(hint), 64); err == nil && ms > 0 && !math.IsInf(ms, 0) {
			work = ms / 1000
		}
	}
	return work
}
