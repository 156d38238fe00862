package cluster

import (
	"math/rand/v2"
	"time"
)

// Profile describes random runs. As JSON, it is the spec of a job for workers that run as separate processes.
type Profile struct {
	MinMS int `json:"minMs"`
	MaxMS int `json:"maxMs"`
	// SlowMS is the duration of one in SlowOneIn runs; 0 in SlowOneIn means none.
	SlowMS    int `json:"slowMs,omitempty"`
	SlowOneIn int `json:"slowOneIn,omitempty"`
	// FailsOneIn lets one in so many runs fail; 0 means none.
	FailsOneIn int `json:"failsOneIn,omitempty"`
}

// Draw chooses the duration and result of one run.
func (p Profile) Draw(random *rand.Rand) Behaviour {
	oneIn := func(n int) bool { return n > 0 && random.IntN(n) == 0 }
	if oneIn(p.SlowOneIn) {
		return Behaviour{Duration: time.Duration(p.SlowMS) * time.Millisecond}
	}
	ms := p.MinMS + random.IntN(max(1, p.MaxMS-p.MinMS))
	return Behaviour{Duration: time.Duration(ms) * time.Millisecond, Fails: oneIn(p.FailsOneIn)}
}
