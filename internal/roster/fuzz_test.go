package roster

import (
	"testing"

	"samphirestile.example/samphirestile/internal/store"
)

// Guards against a record of the digest that takes a daemon down or that reads
// differently after it was written again.
func FuzzDecodeDigest(f *testing.F) {
	f.Add([]byte(`{"s":"svc","a":"10.0.0.1:1","c":{"cpu":1},"l":["a","r1"],"d":true}`))
	f.Add([]byte(`{"s":1}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		w, err := decodeDigest(store.Entry{Key: digestPrefix + "i-1", Value: value})
		if err != nil {
			return
		}
		again, err := encodeDigest(w)
		if err != nil {
			t.Fatal(err)
		}
		back, err := decodeDigest(store.Entry{Key: digestPrefix + "i-1", Value: again})
		if err != nil || !back.Equal(w) {
			t.Fatalf("%+v became %+v: %v", w, back, err)
		}
	})
}
