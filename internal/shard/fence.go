package shard

import "github.com/sirupsen/logrus"

// fenceUnansweredStarts raises the token above that of a start without an answer. The start has no effect any more once the worker
// has received the new token, also in a later incarnation, which has forgotten the stops of the former one: there the first call
// that it receives decides.
//
// The token is the revision of a record that this owner wrote, so a successor has a higher one. An owner to which the worker is
// assigned later has a higher one as well, because only empty workers are assigned. The caller holds mu.
func (s *session) fenceUnansweredStarts() {
	o := s.owner
	if s.unansweredToken == 0 || s.token > s.unansweredToken {
		return
	}
	if name, _ := o.workerClaim(s.ID); name != "" && name != o.Shard {
		return
	}
	revision := o.chain.Revision()
	if revision <= s.unansweredToken {
		o.wantsRevision, o.urgent = true, true
		o.requestCommit()
		return
	}
	o.Log.WithFields(logrus.Fields{
		"worker": s.ID, "shard": o.Shard, "from": s.token, "token": revision, "incarnation": s.incarnation,
	}).Info("token raised above that of a start without an answer")
	s.token = revision
}
