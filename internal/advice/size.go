package advice

import "time"

const (
	// BatchSize is how many workers a request names at most, unless a gang needs more at once. The objective
	// of a job allows for one request of this size for each step.
	BatchSize = 30
	// minApprovalRate bounds the estimated share of approved workers, so that a policy which has approved none
	// of many still gets requests of a bounded size.
	minApprovalRate = 0.02
	// rateHalvingCount is after how many decisions the weight of earlier ones is halved.
	rateHalvingCount = 64
)

// CallTime is the duration of a call to the advisor.
type CallTime struct {
	Decision, PerWorker time.Duration
}

// For returns the duration of a call that names the given number of workers.
func (t CallTime) For(workers int) time.Duration {
	return t.Decision + time.Duration(workers)*t.PerWorker
}

// ApprovalRate estimates which share of the workers the policy of a queue approves.
type ApprovalRate struct{ named, approved float64 }

// Add counts the decisions of one answer.
func (r *ApprovalRate) Add(named, approved int) {
	r.named += float64(named)
	r.approved += float64(approved)
	if r.named > rateHalvingCount {
		r.named, r.approved = r.named/2, r.approved/2
	}
}

// Share returns the estimated share; one half before any decision.
func (r ApprovalRate) Share() float64 {
	return max(minApprovalRate, (r.approved+1)/(r.named+2))
}

// Need describes the workers that a step lacks.
type Need struct {
	// Approvable is how many workers the step's ready tasks need, by the resources that are free.
	Approvable int
	// Known is how many workers may be named of which an earlier answer has shown that they may run the step.
	Known int
	// Refused is how many workers the policy has refused for the step.
	Refused int
	// Rate is the share of other workers that the policy approves.
	Rate float64
	// Gang is set if the approvals must be valid at the same time.
	Gang bool
	// Ended is how many answers in a row gave approvals that had ended before a start arrived.
	Ended int
	// Call is the duration of a call to the advisor, Validity that of approvals; 0 if unknown.
	Call     CallTime
	Validity time.Duration
}

// Names returns how many workers the request names, those known to be approved first; at most limit.
//
// Load pattern: jobs of many steps wait for one advisor, whose calls take longer the more workers they name.
// A request names as many workers as the tasks need, more where the policy refuses many, and doubles the
// number as long as it refuses all. It names fewer if the call would outlast the approvals.
func (n Need) Names(limit int) int {
	if n.Gang {
		limit = min(limit, max(BatchSize, n.Approvable))
	} else {
		limit = min(limit, BatchSize)
	}
	if n.Call.PerWorker <= 0 {
		return limit
	}
	names := min(n.Approvable, n.Known)
	if unknown := n.Approvable - names; unknown > 0 {
		names += max(int(float64(unknown)/n.Rate), n.Refused)
	}
	if !n.Gang {
		if n.Validity > 0 {
			names = min(names, int((n.Validity/2-n.Call.Decision)/n.Call.PerWorker))
		}
		names >>= min(n.Ended, 30)
	}
	return min(limit, max(1, names))
}
