// Package jobconfig defines the operators' configuration of queues, services and client
// accounts.
package jobconfig

import (
	"maps"
	"slices"
	"strings"
	"time"

	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/worker"
)

// Queue accepts jobs for one service.
type Queue struct {
	Name    string
	Host    string
	Prefix  string
	Service fleet.ServiceID
	// Priority 0 is the highest.
	Priority    int
	MaxAttempts int
	// Stretch and Objective give a job's target completion time: Stretch times its critical
	// path, plus Objective. A Stretch of 0 counts as 1.
	Stretch   float64
	Objective time.Duration
	// Open queues accept jobs without a key.
	Open bool
	// Advice is set for queues whose policy allows only some workers to run a step.
	Advice *Advice
}

// Address identifies the queue to clients, whatever its name and service are in a version of the configuration.
func (q *Queue) Address() string { return strings.ToLower(q.Host) + q.Prefix }

// Advice is the duration of calls to the advisor of a queue.
type Advice struct {
	Decision, PerWorker time.Duration
}

// CallDuration returns the duration of a call that lists the given number of workers.
func (a *Advice) CallDuration(workers int) time.Duration {
	return a.Decision + time.Duration(workers)*a.PerWorker
}

// Service is a pool of hosts whose workers run the tasks of its queues.
type Service struct {
	Name fleet.ServiceID
	// EnforcesCapacity is set if workers refuse tasks that exceed their free resources.
	EnforcesCapacity bool
	// Spare marks the pool of hosts that are switched off.
	Spare bool
}

// Account is a client account.
type Account struct {
	Name   string
	Keys   []string
	Weight float64
	// Limit bounds the resources of the account's runs on all workers; 0 in a dimension
	// means no bound.
	Limit worker.Resources
}

// Limits bounds the size and the duration of client calls.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one complete version of the configuration.
type Configuration struct {
	Version  int64
	Queues   []Queue
	Services map[fleet.ServiceID]Service
	Accounts map[string]Account
	Limits   Limits
	// Rejected are the faults of parts of the record that were left out.
	Rejected []error

	byHost map[string][]*Queue
	byKey  map[string]string
}

// Index builds the lookup tables. It must be called once after decoding.
func (c *Configuration) Index() {
	c.byHost = map[string][]*Queue{}
	for i := range c.Queues {
		q := &c.Queues[i]
		c.byHost[q.Host] = append(c.byHost[q.Host], q)
	}
	c.byKey = map[string]string{}
	for _, name := range slices.Sorted(maps.Keys(c.Accounts)) {
		for _, k := range c.Accounts[name].Keys {
			// An empty key would admit calls without one. A key of several accounts belongs to the
			// same one on all daemons.
			if _, used := c.byKey[k]; !used && k != "" {
				c.byKey[k] = name
			}
		}
	}
}

// Match returns the queue with the longest matching prefix, and the rest of the path.
func (c *Configuration) Match(host, path string) (*Queue, string, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	var best *Queue
	for _, q := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, q.Prefix) && (best == nil || len(q.Prefix) > len(best.Prefix)) {
			best = q
		}
	}
	if best == nil {
		return nil, "", false
	}
	return best, strings.TrimPrefix(path[len(best.Prefix):], "/"), true
}

// AccountByKey returns the client account of a key.
func (c *Configuration) AccountByKey(key string) (string, bool) {
	name, ok := c.byKey[key]
	return name, ok
}

// QueueAt returns the queue with an address.
func (c *Configuration) QueueAt(address string) (*Queue, bool) {
	for i := range c.Queues {
		if c.Queues[i].Address() == address {
			return &c.Queues[i], true
		}
	}
	return nil, false
}

// Queue returns a queue by name.
func (c *Configuration) Queue(name string) (*Queue, bool) {
	for i := range c.Queues {
		if c.Queues[i].Name == name {
			return &c.Queues[i], true
		}
	}
	return nil, false
}
