.PHONY: build test lint format run example measure-spool measure-fleet

build:
	mvn -q -DskipTests package

test:
	mvn -B --no-transfer-progress verify

# Formatter, compiler with Error Prone, Checkstyle, and the style test alone.
lint:
	mvn -B --no-transfer-progress -Dtest=StyleTest -Dsurefire.failIfNoSpecifiedTests=false verify

format:
	mvn -B --no-transfer-progress spotless:apply

# A front end of the platform: RELAY_CONFIG names its configuration.
run: build
	java -jar target/lineward.jar serve

# The MySQL front before a toy server; see example/README.md.
example: build
	sh example/run.sh

# Spooled results in figures; BEFORE=JAR names an earlier version's jar, to compare with.
measure-spool: build
	mvn -q -B test-compile dependency:build-classpath -Dmdep.outputFile=target/classpath
	java -cp target/test-classes:target/classes:$$(cat target/classpath) lineward.mysql.MeasureSpool \
		target/lineward.jar $(BEFORE)

# Days of a whole fleet in simulated time, a zone lost and one cut off: served by class. FLEET="fronts engines zones
# seeds load".
FLEET ?= 93 37 4 3 0.65
measure-fleet: build
	mvn -q -B test-compile
	java -cp target/test-classes:target/classes lineward.scheduling.FleetDay $(FLEET)
