package proxy

import "github.com/sirupsen/logrus"

// activePool returns the pool that serves for this one: itself, or the first pool in its chain of backups that has not
// failed over. A pool that receives no requests while its backup serves would never be seen to have recovered, so a
// request goes to it whenever one of its servers is due for a trial; the balancer allows one trial at a time.
func (pool *serverPool) activePool(now float64) *serverPool {
	for pool.failedOver && pool.backup != nil {
		if _, trial := pool.decisions.Availability(now); trial {
			break
		}
		pool = pool.backup
	}
	return pool
}

// updateFailover switches pools to their backups and back.
func (p *Proxy) updateFailover() {
	for _, pool := range p.pools.all {
		if pool.backup == nil {
			continue
		}
		admitted, _ := pool.decisions.Availability(p.now())
		active := pool.failover.Update(p.now(), admitted)
		if active == pool.failedOver {
			continue
		}
		pool.failedOver = active
		fields := logrus.Fields{"pool": pool.name, "backup": pool.backup.name, "active": active}
		p.log.WithFields(fields).Warn("failover")
	}
}
