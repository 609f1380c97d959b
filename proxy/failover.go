package proxy

import "github.com/sirupsen/logrus"

// activePool is the pool that serves for this one: itself, or the first backup on the way that has not failed over
// either. A pool that gets nothing while its backup serves would never be known to have recovered, so a request goes to
// it whenever one of its servers is due for a trial; the decisions let one at a time go there.
func (pool *serverPool) activePool(now float64) *serverPool {
	for pool.failedOver && pool.backup != nil {
		if _, trial := pool.decisions.Availability(now); trial {
			break
		}
		pool = pool.backup
	}
	return pool
}

// updateFailover decides which pools' backups serve.
func (p *Proxy) updateFailover() {
	for _, pool := range p.pools.all {
		if pool.backup == nil {
			continue
		}
		admitted, _ := pool.decisions.Availability(p.now())
		active := pool.failover.Active(p.now(), admitted)
		if active == pool.failedOver {
			continue
		}
		pool.failedOver = active
		fields := logrus.Fields{"pool": pool.name, "backup": pool.backup.name, "active": active}
		p.log.WithFields(fields).Warn("failover")
	}
}
