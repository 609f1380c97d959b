package emulator

import "slices"

// compactLength is the number of consumed elements at the front of a slice above which they are removed.
const compactLength = 1024

// queue holds queued jobs, first in first out. The elements before head are consumed.
type queue struct {
	jobs []Job
	head int
}

func (q *queue) len() int   { return len(q.jobs) - q.head }
func (q *queue) push(j Job) { q.jobs = append(q.jobs, j) }

func (q *queue) pop() Job {
	j := q.jobs[q.head]
	if q.head++; q.head == len(q.jobs) || q.head > compactLength {
		q.jobs = append(q.jobs[:0], q.jobs[q.head:]...)
		q.head = 0
	}
	return j
}

func (q *queue) remove(match func(Job) bool) bool {
	i := slices.IndexFunc(q.jobs[q.head:], match)
	if i >= 0 {
		q.jobs = slices.Delete(q.jobs, q.head+i, q.head+i+1)
	}
	return i >= 0
}

func remove(jobs *[]Job, match func(Job) bool) bool {
	i := slices.IndexFunc(*jobs, match)
	if i >= 0 {
		*jobs = slices.Delete(*jobs, i, i+1)
	}
	return i >= 0
}
