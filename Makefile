.PHONY: build test lint format run example measure-spool measure-fleet measure-call-ids

build:
	mvn -q -DskipTests package

test:
	mvn -B --no-transfer-progress verify

# Checks the format, compiles with Error Prone and runs Checkstyle, but of the tests only StyleTest.
lint:
	mvn -B --no-transfer-progress -Dtest=StyleTest -Dsurefire.failIfNoSpecifiedTests=false verify

format:
	mvn -B --no-transfer-progress spotless:apply

# Runs a front end for the platform; RELAY_CONFIG names its configuration file.
run: build
	java -jar target/lineward.jar serve

# Runs a MySQL front end with a toy engine; see example/README.md.
example: build
	sh example/run.sh

# Measures spooled results; BEFORE=JAR names the jar of an earlier version for comparison.
measure-spool: build
	mvn -q -B test-compile dependency:build-classpath -Dmdep.outputFile=target/classpath
	java -cp target/test-classes:target/classes:$$(cat target/classpath) lineward.mysql.MeasureSpool \
		target/lineward.jar $(BEFORE)

# Simulates fleets with a failed zone and a partitioned zone, and prints the fraction of answered requests by class.
# FLEET holds the numbers of front ends, engines, zones and seeds, and the load.
FLEET ?= 93 37 4 3 0.65
measure-fleet: build
	mvn -q -B test-compile
	java -cp target/test-classes:target/classes lineward.scheduling.FleetDay $(FLEET)

# Measures the memory and the time that the ids of ended requests take, with the compiler of the run command.
measure-call-ids: build
	mvn -q -B test-compile
	java -XX:+UseSerialGC -XX:TieredStopAtLevel=1 -Xmx256m -cp target/test-classes:target/classes \
		lineward.thrift.MeasureCallIds
