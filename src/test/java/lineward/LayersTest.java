package lineward;

import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.classes;
import static com.tngtech.archunit.lang.syntax.ArchRuleDefinition.fields;

import com.tngtech.archunit.core.domain.JavaClasses;
import com.tngtech.archunit.core.importer.ClassFileImporter;
import com.tngtech.archunit.core.importer.ImportOption;
import com.tngtech.archunit.library.Architectures;
import com.tngtech.archunit.library.Architectures.LayeredArchitecture;
import java.util.List;
import org.testng.annotations.DataProvider;
import org.testng.annotations.Test;

/** Checks that a layer depends only on itself and the layers below it. */
public class LayersTest {
    private record Layer(String name, List<String> packages) {
        Layer(String name, String... packages) {
            this(name, List.of(packages));
        }
    }

    /** The layers of the program, from the top down. */
    private static final List<Layer> LAYERS = List.of(
            new Layer("app", "lineward.app.."),
            new Layer("protocols", "lineward.thrift..", "lineward.mysql.."),
            new Layer("process", "lineward.lifecycle..", "lineward.operations..", "lineward.telemetry.."),
            new Layer("backends", "lineward.engine..", "lineward.discovery..", "lineward.gossip.."),
            new Layer("subsystems", "lineward.spool.."),
            new Layer("core", "lineward.core..", "lineward.frontend.."),
            new Layer("scheduling", "lineward.scheduling.."));

    /** The layers of the scheduling module, from the top down. */
    private static final List<Layer> SCHEDULING_LAYERS = List.of(
            new Layer("simulator", "lineward.scheduling.simulator"),
            new Layer("execution", "lineward.scheduling.execution"),
            new Layer("decision", "lineward.scheduling.decision"),
            new Layer("state", "lineward.scheduling.state"),
            new Layer("estimation", "lineward.scheduling.estimation"),
            new Layer("events, actions and settings", "lineward.scheduling"));

    /** The layers of the MySQL front end, from the top down. */
    private static final List<Layer> MYSQL_LAYERS = List.of(
            new Layer("server", "lineward.mysql"),
            new Layer("client", "lineward.mysql.client"),
            new Layer("engine", "lineward.mysql.engine"),
            new Layer("session", "lineward.mysql.session"),
            new Layer("wire", "lineward.mysql.wire"));

    private static JavaClasses productionClasses(String root) {
        return new ClassFileImporter()
                .withImportOption(new ImportOption.DoNotIncludeTests())
                .importPackages(root);
    }

    @Test
    public void layersDependOnlyOnLowerLayers() {
        layered(LAYERS).check(productionClasses("lineward"));
    }

    @Test
    public void schedulingLayersDependOnlyOnLowerLayers() {
        layered(SCHEDULING_LAYERS).check(productionClasses("lineward.scheduling"));
    }

    @Test
    public void mysqlLayersDependOnlyOnLowerLayers() {
        layered(MYSQL_LAYERS).check(productionClasses("lineward.mysql"));
    }

    /** Returns the rule for layers that are listed from the top down. */
    private static LayeredArchitecture layered(List<Layer> layers) {
        LayeredArchitecture architecture = Architectures.layeredArchitecture()
                .consideringOnlyDependenciesInLayers()
                .ensureAllClassesAreContainedInArchitecture();
        for (Layer layer : layers) {
            architecture =
                    architecture.layer(layer.name()).definedBy(layer.packages().toArray(String[]::new));
        }
        for (int i = 0; i < layers.size(); i++) {
            String[] above = layers.subList(0, i).stream().map(Layer::name).toArray(String[]::new);
            LayeredArchitecture.LayerDependencySpecification layer =
                    architecture.whereLayer(layers.get(i).name());
            if (above.length == 0) {
                architecture = layer.mayNotBeAccessedByAnyLayer();
            } else {
                architecture = layer.mayOnlyBeAccessedByLayers(above);
            }
        }
        return architecture;
    }

    @DataProvider
    public Object[][] violations() {
        return new Object[][] {
            {"lineward.core..", "lineward.mysql.."},
            {"lineward.scheduling.state", "lineward.scheduling.decision"},
            {"lineward.mysql.session", "lineward.mysql.client"}
        };
    }

    @Test(dataProvider = "violations", expectedExceptions = AssertionError.class)
    public void detectsADependencyOnAHigherLayer(String lower, String upper) {
        JavaClasses classes = new ClassFileImporter().importPackages("lineward");
        Architectures.layeredArchitecture()
                .consideringOnlyDependenciesInLayers()
                .layer("lower")
                .definedBy(lower)
                .layer("upper")
                .definedBy(upper)
                .whereLayer("lower")
                .mayNotBeAccessedByAnyLayer()
                .check(classes);
    }

    /** Other classes may change the scheduling state only through its methods. */
    @Test
    public void fieldsOfSchedulingStateArePrivate() {
        fields().that()
                .areDeclaredInClassesThat()
                .resideInAnyPackage("lineward.scheduling.state", "lineward.scheduling.estimation")
                .and()
                .areNotStatic()
                .should()
                .bePrivate()
                .check(productionClasses("lineward.scheduling"));
    }

    @Test
    public void decisionsUseNoLibraryAndNoInputOrOutput() {
        classes()
                .that()
                .resideInAPackage("lineward.scheduling.decision")
                .should()
                .onlyDependOnClassesThat()
                .resideInAnyPackage("lineward.scheduling..", "java.lang..", "java.util..")
                .check(productionClasses("lineward.scheduling"));
    }
}
