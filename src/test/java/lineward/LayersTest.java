package lineward;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.library.Architectures;
import com.tngtech.archunit.library.Architectures.LayeredArchitecture;
import org.testng.annotations.Test;

/** A floor may use those below it and itself, never one above. */
public class LayersTest {
    private static final String[][] FLOORS = {
        {"module", "lineward.scheduling.."},
        {"core", "lineward.core..", "lineward.frontend.."},
        {"subsystems", "lineward.spool.."},
        {"wires", "lineward.engine..", "lineward.discovery..", "lineward.gossip.."},
        {"process", "lineward.lifecycle..", "lineward.operations..", "lineward.telemetry.."},
        {"protocols", "lineward.thrift..", "lineward.mysql.."},
        {"app", "lineward.app.."}
    };

    @Test
    public void noFloorUsesOneAboveIt() {
        JavaClasses classes = new ClassFileImporter()
                .withImportOption(new ImportOption.DoNotIncludeTests())
                .importPackages("lineward");
        LayeredArchitecture floors = Architectures.layeredArchitecture().consideringOnlyDependenciesInLayers();
        for (String[] floor : FLOORS) {
            String[] packages = new String[floor.length - 1];
            System.arraycopy(floor, 1, packages, 0, packages.length);
            floors = floors.layer(floor[0]).definedBy(packages);
        }
        for (int i = 0; i < FLOORS.length; i++) {
            String[] above = new String[FLOORS.length - 1 - i];
            for (int j = 0; j < above.length; j++) {
                above[j] = FLOORS[i + 1 + j][0];
            }
            floors = above.length == 0
                    ? floors.whereLayer(FLOORS[i][0]).mayNotBeAccessedByAnyLayer()
                    : floors.whereLayer(FLOORS[i][0]).mayOnlyBeAccessedByLayers(above);
        }
        floors.check(classes);
    }

    @Test(expectedExceptions = AssertionError.class)
    public void theCheckFindsOneThatDoes() {
        JavaClasses classes = new ClassFileImporter().importPackages("lineward");
        Architectures.layeredArchitecture()
                .consideringOnlyDependenciesInLayers()
                .layer("core")
                .definedBy("lineward.core..")
                .layer("mysql")
                .definedBy("lineward.mysql..")
                .whereLayer("core")
                .mayNotBeAccessedByAnyLayer()
                .check(classes);
    }
}
