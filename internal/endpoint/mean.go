package endpoint

// meanWindow is the number of samples that a Mean averages. The mean of 256 exponentially
// distributed service times has a standard error of about 6 %.
const meanWindow = 256

// Mean is a moving average: the arithmetic mean of the first samples, then an exponentially
// weighted one. The zero value is ready for use.
type Mean struct {
	value   float64
	samples int
}

// Add adds a sample.
func (m *Mean) Add(x float64) {
	if m.samples < meanWindow {
		m.samples++
	}
	m.value += (x - m.value) / float64(m.samples)
}

// Value returns the average; 0 before the first sample.
func (m *Mean) Value() float64 { return m.value }

// HasSamples reports whether a sample has been added.
func (m *Mean) HasSamples() bool { return m.samples > 0 }
