package shard

import (
	"context"
	"sync"
)

// commandQueueSize is how many commands other than stops may wait for one worker; beyond it, tasks go to other workers. The
// members of a gang work only together, so their commands wait in any number.
const commandQueueSize = 512

// commandQueue holds the commands other than stops that wait to be sent to one worker, in order.
type commandQueue struct {
	// added wakes the senders; it holds one signal for each.
	added chan struct{}

	mu      sync.Mutex
	waiting []func(context.Context)
}

func newCommandQueue() *commandQueue {
	return &commandQueue{added: make(chan struct{}, commandSenders)}
}

// add queues a command. It returns false if the queue is full and the command is not required.
func (q *commandQueue) add(command func(context.Context), required bool) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) >= commandQueueSize && !required {
		return false
	}
	q.waiting = append(q.waiting, command)
	select {
	case q.added <- struct{}{}:
	default:
	}
	return true
}

// next removes and returns the first command, or nil if there is none.
func (q *commandQueue) next() func(context.Context) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.waiting) == 0 {
		q.waiting = nil
		return nil
	}
	first := q.waiting[0]
	q.waiting[0] = nil
	q.waiting = q.waiting[1:]
	return first
}

// send sends the commands of the queue until ctx ends.
func (q *commandQueue) send(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-q.added:
		}
		for command := q.next(); command != nil && ctx.Err() == nil; command = q.next() {
			command(ctx)
		}
	}
}
