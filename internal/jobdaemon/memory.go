package jobdaemon

const (
	// jobMemoryFraction is the part of a machine's memory that the accepted jobs of all shards may need. The rest is for their
	// records on the way to the store, for requests and for the garbage collector.
	jobMemoryFraction = 0.25
	// unknownMemory is assumed for a machine whose memory is not known.
	unknownMemory = 256 << 20
)

// jobMemory returns how much memory in bytes the accepted jobs of one shard may need, if a daemon may come to own all shards.
func jobMemory(machine int64, shards int) int64 {
	if machine <= 0 {
		machine = unknownMemory
	}
	return int64(jobMemoryFraction*float64(machine)) / int64(max(1, shards))
}
