package membership

// StopAtLeaseEnd puts back the rejected design in which the right ends with the store lease.
func (m *Membership) StopAtLeaseEnd() { m.faults.stopAtLeaseEnd = true }

// TimeoutReclaim puts back the rejected design in which a seat is reclaimed after a plain timeout.
func (m *Membership) TimeoutReclaim() { m.faults.timeoutReclaim = true }
