package bench

import (
	"bufio"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"samphirestile.example/samphirestile/internal/emulator/process"
)

// controlDaemons is the number of daemons in a current deployment.
const controlDaemons = 8

// controlWarmUp is excluded from the measurement, because it contains the traffic of the start.
const controlWarmUp = 5 * time.Second

// heapMetric is the Go runtime's metric for the heap in use.
const heapMetric = "go_memstats_heap_inuse_bytes"

// MissingMetricError reports a metric that a daemon does not expose.
type MissingMetricError struct{ Daemon, Metric string }

func (e *MissingMetricError) Error() string {
	return fmt.Sprintf("daemon %s exposes no metric %s", e.Daemon, e.Metric)
}

// measureControl measures the control overhead per daemon without requests. Bytes are
// those of the TCP streams, without packet headers; each byte between peers counts
// once for its sender and once for its receiver.
func measureControl(o Options) ([]Metric, error) {
	var services []process.Service
	for i := range burstQueues {
		services = append(services, process.Service{ID: fmt.Sprintf("s%d", i+1), Endpoints: 2})
	}
	c, err := process.Start(process.Options{
		Daemon: o.Daemon, Emulator: o.Emulator, Daemons: controlDaemons, LogLevel: "warning", PeerRelays: true, StoreRelays: true,
		Services: services, Teams: []process.Team{{ID: "a", Account: "x", Weight: 1, Limit: 50}, {ID: "b", Account: "y", Weight: 2, Limit: 50}},
	})
	if err != nil {
		return nil, err
	}
	defer c.Close()
	time.Sleep(controlWarmUp)
	bytes, used, begin := controlBytes(c), cpu(c), time.Now()
	time.Sleep(time.Duration(o.durationMS(10, 60)) * time.Millisecond)
	elapsed := time.Since(begin).Seconds()
	bytes, used = controlBytes(c)-bytes, cpu(c)-used
	metrics := []Metric{
		{"control.bytes_per_second", float64(bytes) / elapsed / controlDaemons, "bytes/s"},
		{"control.cpu_percent", 100 * used.Seconds() / elapsed / controlDaemons, "percent"},
	}
	heap, err := largestHeap(c)
	if err != nil {
		return metrics, err
	}
	return append(metrics, Metric{"control.heap_mb", heap / (1 << 20), "MiB"}), nil
}

// controlBytes returns the bytes of the control traffic of all daemons.
func controlBytes(c *process.Cell) int64 {
	var sum int64
	for _, d := range c.Daemons {
		sum += 2*d.PeerRelay.Bytes() + d.StoreRelay.Bytes()
	}
	return sum
}

func largestHeap(c *process.Cell) (float64, error) {
	largest := 0.0
	for _, d := range c.Daemons {
		heap, err := metricOf(d, heapMetric)
		if err != nil {
			return 0, err
		}
		largest = max(largest, heap)
	}
	return largest, nil
}

func metricOf(d *process.Daemon, name string) (float64, error) {
	resp, err := http.Get("http://" + d.OperatorAddress + "/metrics")
	if err != nil {
		return 0, fmt.Errorf("read the metrics of %s: %w", d.ID, err)
	}
	defer resp.Body.Close()
	for lines := bufio.NewScanner(resp.Body); lines.Scan(); {
		if text, ok := strings.CutPrefix(lines.Text(), name+" "); ok {
			return strconv.ParseFloat(text, 64)
		}
	}
	return 0, &MissingMetricError{Daemon: d.ID, Metric: name}
}
