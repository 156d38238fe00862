package ownership_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"samphirestile.example/samphirestile/internal/fleet"
	"samphirestile.example/samphirestile/internal/membership"
	"samphirestile.example/samphirestile/internal/ownership"
)

func TestOwnership(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ownership")
}

func makeEndpoints(services, each int) map[fleet.EndpointID]fleet.Endpoint {
	result := make(map[fleet.EndpointID]fleet.Endpoint)
	for s := range services {
		for e := range each {
			id := fleet.EndpointID(fmt.Sprintf("service-%d-endpoint-%d", s, e))
			result[id] = fleet.Endpoint{ID: id, Service: fleet.ServiceID(fmt.Sprintf("service-%d", s))}
		}
	}
	return result
}

func seats(n int) []membership.Member {
	result := make([]membership.Member, n)
	for i := range result {
		result[i] = membership.Member{Seat: fleet.SeatID(fmt.Sprintf("seat-%d", i)), Active: true}
	}
	return result
}

var _ = Describe("Assign", func() {
	It("assigns every endpoint to one active seat within the bound of each service", func() {
		for n := 1; n <= 12; n++ {
			for each := 1; each <= 12; each++ {
				endpoints, members := makeEndpoints(5, each), seats(n+1)
				members[0].Active = false
				assignment := ownership.Assign(endpoints, members)
				Expect(assignment).To(HaveLen(len(endpoints)))
				owned := make(map[string]int)
				for id, seat := range assignment {
					Expect(seat).NotTo(Equal(members[0].Seat), "an inactive seat must own nothing")
					owned[string(endpoints[id].Service)+string(seat)]++
				}
				for _, count := range owned {
					Expect(count).To(BeNumerically("<=", (each+n-1)/n))
				}
			}
		}
	})

	It("gives the same result for any order of the members", func() {
		endpoints, members := makeEndpoints(5, 12), seats(8)
		want := ownership.Assign(endpoints, members)
		random := rand.New(rand.NewPCG(1, 2))
		for range 20 {
			random.Shuffle(len(members), func(i, j int) { members[i], members[j] = members[j], members[i] })
			Expect(ownership.Assign(endpoints, members)).To(Equal(want))
		}
	})

	It("assigns nothing without active seats", func() {
		Expect(ownership.Assign(makeEndpoints(1, 3), nil)).To(BeEmpty())
	})

	It("moves few endpoints when one seat fails", func() {
		// A plain modulo assignment would move almost all of them.
		moved, lost, total := 0, 0, 0
		for failed := range 8 {
			endpoints, members := makeEndpoints(5, 12), seats(8)
			before := ownership.Assign(endpoints, members)
			members[failed].Active = false
			after := ownership.Assign(endpoints, members)
			for id, seat := range before {
				total++
				if seat == members[failed].Seat {
					lost++
				} else if after[id] != seat {
					moved++
				}
			}
		}
		GinkgoWriter.Printf("lost %d, moved besides %d of %d\n", lost, moved, total)
		Expect(moved).To(BeNumerically("<", total/10))
	})
})
