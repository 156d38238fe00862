package job

import "sort"

// ranges is a set of numbers as disjoint ranges in increasing order, both ends included, none of which could be joined.
type ranges [][2]int

// after returns the index of the first range that ends at k or later.
func (r ranges) after(k int) int {
	return sort.Search(len(r), func(i int) bool { return r[i][1] >= k })
}

func (r ranges) contains(k int) bool {
	i := r.after(k)
	return i < len(r) && r[i][0] <= k
}

// add adds a number that the set does not contain.
func (r ranges) add(k int) ranges {
	i := r.after(k)
	joinsPrevious := i > 0 && r[i-1][1] == k-1
	joinsNext := i < len(r) && r[i][0] == k+1
	switch {
	case joinsPrevious && joinsNext:
		r[i-1][1] = r[i][1]
		return append(r[:i], r[i+1:]...)
	case joinsPrevious:
		r[i-1][1] = k
	case joinsNext:
		r[i][0] = k
	default:
		r = append(r, [2]int{})
		copy(r[i+1:], r[i:])
		r[i] = [2]int{k, k}
	}
	return r
}

// missing calls yield with the numbers from 0 below limit that the set does not contain, in order, until it returns false.
func (r ranges) missing(limit int, yield func(int) bool) {
	next := 0
	for k := 0; k < limit; k++ {
		if next < len(r) && r[next][0] <= k {
			k = r[next][1]
			next++
			continue
		}
		if !yield(k) {
			return
		}
	}
}

// count returns how many numbers the set contains.
func (r ranges) count() int {
	n := 0
	for _, one := range r {
		n += one[1] - one[0] + 1
	}
	return n
}
