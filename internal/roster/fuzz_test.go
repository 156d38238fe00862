package roster

import (
	"testing"

	"samphirestile.example/samphirestile/internal/store"
)

// Guards against digest records that crash a daemon or that change when they are decoded,
// encoded and decoded again.
func FuzzDecodeDigest(f *testing.F) {
	f.Add([]byte(`{"s":"svc","a":"10.0.0.1:1","c":{"cpu":1},"l":["a","r1"],"d":true,"b":9}`))
	f.Add([]byte(`{"s":1}`))
	f.Fuzz(func(t *testing.T, value []byte) {
		w, err := decodeDigest(store.Entry{Key: digestPrefix + "i-1", Value: value})
		if err != nil {
			return
		}
		encoded, err := encodeDigest(w)
		if err != nil {
			t.Fatal(err)
		}
		decoded, err := decodeDigest(store.Entry{Key: digestPrefix + "i-1", Value: encoded})
		if err != nil || !decoded.Equal(w) {
			t.Fatalf("%+v became %+v: %v", w, decoded, err)
		}
	})
}
