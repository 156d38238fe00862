package endpoint

// baselines holds the baseline latency of each signature, as the mean of its logarithm.
// Experiments compare latencies relative to it: a mix of fast and slow requests would
// otherwise need many times as many samples. It is not updated during an experiment, so
// that both arms are compared with the same baseline.
type baselines struct {
	all         Mean
	bySignature map[string]*Mean
}

func newBaselines() baselines {
	return baselines{bySignature: map[string]*Mean{}}
}

func (b *baselines) add(signature string, logLatency float64) {
	b.all.Add(logLatency)
	m := b.bySignature[signature]
	if m == nil {
		if len(b.bySignature) >= maxSignatures {
			clear(b.bySignature)
		}
		m = &Mean{}
		b.bySignature[signature] = m
	}
	m.Add(logLatency)
}

// value returns the baseline of the signature, or that of all requests for a new signature.
func (b *baselines) value(signature string) float64 {
	if m := b.bySignature[signature]; m != nil {
		return m.Value()
	}
	return b.all.Value()
}
