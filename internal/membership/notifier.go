package membership

import "sync"

// notifier signals changes to subscribers; signals may be coalesced.
type notifier struct {
	mu   sync.Mutex
	subs map[chan struct{}]struct{}
}

func (n *notifier) subscribe() (<-chan struct{}, func()) {
	ch := make(chan struct{}, 1)
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.subs == nil {
		n.subs = map[chan struct{}]struct{}{}
	}
	n.subs[ch] = struct{}{}
	return ch, func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		delete(n.subs, ch)
	}
}

func (n *notifier) notify() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for ch := range n.subs {
		select {
		case ch <- struct{}{}:
		default:
		}
	}
}
