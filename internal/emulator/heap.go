package emulator

// runningJob is a running job with the value of Server.virtualWork at which it ends.
type runningJob struct {
	job    Job
	endsAt float64
}

// runningJobs is a min-heap by endsAt, for use with container/heap.
type runningJobs []runningJob

func (r runningJobs) Len() int           { return len(r) }
func (r runningJobs) Less(i, j int) bool { return r[i].endsAt < r[j].endsAt }
func (r runningJobs) Swap(i, j int)      { r[i], r[j] = r[j], r[i] }
func (r *runningJobs) Push(x any)        { *r = append(*r, x.(runningJob)) }
func (r *runningJobs) Pop() any {
	x := (*r)[len(*r)-1]
	*r = (*r)[:len(*r)-1]
	return x
}
