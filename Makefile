.PHONY: build test lint run example

build:
	mvn -q -DskipTests package

test:
	mvn -B --no-transfer-progress verify

# The compiler's warnings are errors; the style test checks lengths.
lint:
	mvn -B --no-transfer-progress -Dtest=StyleTest -Dsurefire.failIfNoSpecifiedTests=false test

# A front end of the platform: RELAY_CONFIG names its configuration.
run: build
	java -jar target/lineward.jar serve

# The MySQL front before a toy server; see example/README.md.
example: build
	sh example/run.sh
