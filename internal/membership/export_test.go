package membership

// StopAtLeaseEnd enables the rejected design in which the permission to start work ends
// with the store lease.
func (m *Membership) StopAtLeaseEnd() { m.rejectedDesigns.stopAtLeaseEnd = true }

// TimeoutReclaim enables the rejected design in which a seat is reclaimed after a plain timeout.
func (m *Membership) TimeoutReclaim() { m.rejectedDesigns.timeoutReclaim = true }
