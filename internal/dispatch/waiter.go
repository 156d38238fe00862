package dispatch

import (
	"time"

	"samphirestile.example/samphirestile/internal/problem"
)

// waiter is a queued request. It is an element of a linked list, so that removal takes constant time.
type waiter struct {
	Request
	team     *teamQueue
	class    class
	enqueued time.Time
	deadline time.Time
	// decided receives the grant or the refusal, once; its buffer of one keeps the sender
	// from blocking.
	decided    chan decision
	list       *waitList
	prev, next *waiter
}

type decision struct {
	grant   *grant
	refusal *problem.Error
}

// class is the position of a request in the order of its team. Requests that avoid an
// endpoint have classes of their own, because only they may be unable to use a free slot.
type class int

const (
	urgentAvoiding class = iota
	urgentPlain
	normalAvoiding
	normalPlain
	classes
)

func classOf(r Request) class {
	switch avoiding := len(r.Avoid) > 0; {
	case r.Urgent && avoiding:
		return urgentAvoiding
	case r.Urgent:
		return urgentPlain
	case avoiding:
		return normalAvoiding
	default:
		return normalPlain
	}
}

func (c class) urgent() bool { return c <= urgentPlain }

func (c class) avoiding() bool { return c == urgentAvoiding || c == normalAvoiding }

// waitList is a first-in, first-out list of waiters.
type waitList struct {
	head, tail *waiter
}

func (l *waitList) push(w *waiter) {
	w.list, w.prev = l, l.tail
	if l.tail == nil {
		l.head = w
	} else {
		l.tail.next = w
	}
	l.tail = w
}

func (l *waitList) remove(w *waiter) {
	if w.prev == nil {
		l.head = w.next
	} else {
		w.prev.next = w.next
	}
	if w.next == nil {
		l.tail = w.prev
	} else {
		w.next.prev = w.prev
	}
	w.list, w.prev, w.next = nil, nil, nil
}
