.PHONY: build test demo bench lint generate

build:
	go build -o bin/ ./cmd/...

test:
	scripts/test.sh

demo: build
	bin/samphirestile-emulator demo --daemon bin/samphirestiled
	bin/samphirestile-emulator jobs

bench: build
	bin/samphirestile-emulator bench --daemon bin/samphirestiled

lint:
	test -z "$$(gofmt -l api cmd internal test 2>/dev/null)"
	go vet ./...
	go tool staticcheck ./...

generate:
	go generate ./...
