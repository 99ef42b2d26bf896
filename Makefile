GOLANGCI_LINT = go run github.com/golangci/golangci-lint/v2/cmd/golangci-lint@v2.15.0
GOPLS = go run golang.org/x/tools/gopls@v0.23.0
SCHEMAS = $(wildcard schema/*.json)

.PHONY: build test regression measure generate check-generated format check-format lint rename

build:
	go build -o bin/hornbeamproxy ./cmd/hornbeamproxy

# The tests listed in KNOWN-RED.txt are printed and skipped.
KNOWN_RED = $(shell sed -n 's/^test: //p' KNOWN-RED.txt 2>/dev/null | paste -sd '|')
SKIP = $(if $(KNOWN_RED),-skip '$(KNOWN_RED)')

# The integration tests run alone and one after the other, because their routers and
# stand-ins miss their deadlines when other tests use the machine at the same time. The crowds
# run after them, since they use much of the machine for a moment.
test:
	@echo "passed over as listed in KNOWN-RED.txt: $(if $(KNOWN_RED),$(KNOWN_RED),none)"
	go test $(SKIP) -timeout 20m $$(go list ./... | grep -v -e /integration$$ -e /crowds$$)
	go test $(SKIP) -parallel 1 -timeout 30m ./integration
	go test $(SKIP) -parallel 1 -p 1 -timeout 15m ./crowds

# The users' deployments that a change must not make worse. FLEETBENCH is the program of
# their bench and SITES the folder of its site files; neither is part of this repository.
REGRESSION_SITES = large/zhds-almaty-large further-grown/quetzal-coil-grown further/quetzal-coil \
	shifted/zhds-almaty-now-grown grown/zhds-almaty-grown grown/perruque-hub-grown

regression:
	@test -n "$(FLEETBENCH)" -a -n "$(SITES)" || { echo "set FLEETBENCH and SITES"; exit 2; }
	for site in $(REGRESSION_SITES); do \
		$(FLEETBENCH) score $(SITES)/$$site.toml --quick --why "regression run" || exit 1; done

# The exit status is 1 if the build misses a target.
measure: build
	bin/hornbeamproxy measure

generate:
	cd tools && go tool go-jsonschema --only-models --struct-name-from-title \
		--tags json,toml,cbor --capitalization ID --capitalization URL --package api \
		--output ../api/api.gen.go $(addprefix ../,$(SCHEMAS))
	cd tools && go tool gofumpt -w ../api/api.gen.go

check-generated:
	cp api/api.gen.go /tmp/api.gen.go.$$$$ && $(MAKE) -s generate && \
		cmp api/api.gen.go /tmp/api.gen.go.$$$$; status=$$?; rm -f /tmp/api.gen.go.$$$$; exit $$status

format:
	cd tools && go tool gofumpt -w ..

check-format:
	@unformatted=$$(cd tools && go tool gofumpt -l ..); \
		if [ -n "$$unformatted" ]; then echo "not formatted:"; echo "$$unformatted"; exit 1; fi

lint:
	go vet ./...
	$(GOLANGCI_LINT) run ./...

# Renames an identifier everywhere: make rename AT=file.go:line:column TO=newName
rename:
	$(GOPLS) rename -w $(AT) $(TO)
